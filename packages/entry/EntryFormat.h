// What an entry reads in requests and answers, and what it adds, apart from the
// names that a platform gives it.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "protocol/Messages.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace magnoliamill::entry {

using Headers = std::vector<protocol::HttpHeader>;

/// What a client says about its request.
struct RequestMetadata {
  /// Names the client attempt; repeated by the target's answer.
  std::string Id;
  /// How long the client waits.
  std::optional<base::Duration> ClientTimeout;
  /// The key, for keyed services.
  std::optional<std::uint32_t> Key;
  std::string Host;
};

/// What a target says about its answer.
struct AnswerMetadata {
  /// The request it answers; empty when it does not say.
  std::string Id;
  /// The answer bears the target's mark and is as the target wrote it.
  bool IsAuthentic = false;
  /// The target did not run the request.
  bool IsNotRun = false;
  /// Another target has the address.
  bool IsWrongTarget = false;
};

/// Provided by the adapter of a platform.
struct EntryFormat {
  /// Error: BadRequest, BadDeadline, MissingKey with what is malformed.
  std::function<base::Result<RequestMetadata>(const Headers &)> ReadRequest;
  /// Headers for the target: those of the client, for this target's id only.
  std::function<void(Headers &, const std::string &TargetId)> AddTargetHeaders;
  std::function<AnswerMetadata(std::uint16_t status, const Headers &)>
      ReadAnswer;
  /// The value of Retry-After.
  std::function<std::string(base::Duration)> WriteRetryAfter;
  /// The name of the header that tells a target what is left of the deadline.
  std::string DeadlineHeader;
  std::string ReadinessPath;
};

} // namespace magnoliamill::entry
