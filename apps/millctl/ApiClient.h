// Client of the control API with retries over several endpoints.
#pragma once

#include "HttpClient.h"

#include <boost/json/value.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::millctl {

/// Sends one call to one endpoint; exchange() outside of tests.
using Transport = std::function<base::Result<HttpAnswer>(
    const std::string &endpoint, const HttpCall &call, base::Duration timeout)>;

struct ApiConfig {
  /// HOST:PORT of the entry VMs, tried in turn.
  std::vector<std::string> Endpoints;
  std::string Token;
  base::Duration Timeout = std::chrono::seconds(10);
  /// Rounds over all endpoints before a call fails.
  unsigned Rounds = 3;
  /// Between two rounds.
  base::Duration Pause = std::chrono::milliseconds(200);
};

class ApiClient {
public:
  ApiClient(ApiConfig config, Transport transport)
      : Config(std::move(config)), Send(std::move(transport)) {}

  /// Sends a GET request. When one endpoint fails, the others are tried.
  base::Result<boost::json::value> get(const std::string &target);
  /// Requests a change. All attempts carry the same change id \p id, so that a
  /// change whose answer was lost is not made twice. Fails with
  /// ChangeOutcomeUnknown when an attempt may have been carried out and no
  /// attempt gave a final answer.
  base::Result<boost::json::value> change(const std::string &method,
                                          const std::string &target,
                                          const std::string &body,
                                          const std::string &id);
  /// The body of the most recent answer if it was an error, otherwise null.
  const boost::json::value &lastError() const { return LastError; }

private:
  base::Result<boost::json::value> attempt(const HttpCall &call);
  base::Result<boost::json::value> readAnswer(const HttpAnswer &answer);

  ApiConfig Config;
  Transport Send;
  boost::json::value LastError;
};

/// Percent-encodes \p text for use in a query.
std::string escapeQuery(std::string_view text);

/// Makes a new random change id. \p index is the settings index that the client
/// has read, or 0 when it is not known; see settings::ChangeOrigin::ChangeId.
std::string makeChangeId(std::uint64_t index);

} // namespace magnoliamill::millctl
