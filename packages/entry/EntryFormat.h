// Platform-independent data that an entry reads from and writes to HTTP
// headers, and the callbacks that map it to the header names of a platform.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "dispatch/TargetLoad.h"
#include "protocol/Messages.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace magnoliamill::entry {

using Headers = std::vector<protocol::HttpHeader>;

/// Properties of a request, as given by the client's headers.
struct RequestMetadata {
  /// Identifies the client attempt; the target's answer repeats it.
  std::string Id;
  /// How long the client waits for the answer, if it says so.
  std::optional<base::Duration> ClientTimeout;
  /// The key; required by keyed services.
  std::optional<std::uint32_t> Key;
  std::string Host;
};

/// Properties of an answer, as given by the target's headers.
struct AnswerMetadata {
  /// The id of the answered request; empty if the target did not send it.
  std::string Id;
  /// The answer is marked as written by a target (on the platform: it carries a
  /// signature header, which is not verified) and was not changed on the way.
  bool IsFromTarget = false;
  /// The target did not run the request.
  bool IsNotRun = false;
  /// The address now belongs to another target.
  bool IsWrongTarget = false;
  /// The target is leaving and will exit.
  bool IsLeaving = false;
  /// How long the target wants no requests from this VM; zero if it did not
  /// ask.
  base::Duration AskedPause{};
  /// Requests per second that the target takes from all VMs together, if it
  /// limits them.
  std::optional<double> RateLimit;
  /// The load that the target reports, if it does.
  std::optional<dispatch::TargetLoad> Load;
};

/// Callbacks and names provided by the platform adapter.
struct EntryFormat {
  /// Reads the client's headers. Errors: BadRequest, BadDeadline or MissingKey,
  /// with a message that names the malformed header.
  std::function<base::Result<RequestMetadata>(const Headers &)> ReadRequest;
  /// Adapts the client's headers for the target, so that only the target with
  /// this id accepts the request.
  std::function<void(Headers &, const std::string &TargetId)> AddTargetHeaders;
  std::function<AnswerMetadata(std::uint16_t status, const Headers &)>
      ReadAnswer;
  /// Formats the value of the Retry-After header.
  std::function<std::string(base::Duration)> WriteRetryAfter;
  /// Name of the header that tells the target how much time is left until the
  /// deadline.
  std::string DeadlineHeader;
  /// URL path of the readiness check.
  std::string ReadinessPath;
};

} // namespace magnoliamill::entry
