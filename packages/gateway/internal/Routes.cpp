// The HTTP routes of an entry VM.
#include "gateway/internal/Routes.h"

#include "base/Metrics.h"
#include "gateway/HeaderRules.h"

#include <algorithm>
#include <charconv>
#include <prometheus/counter.h>

namespace magnoliamill::gateway::internal {
namespace {

using base::ResultCode;
using protocol::AnswerSink;
using protocol::HttpHeader;

constexpr std::string_view ServicePrefix = "/s/";
constexpr std::string_view DefaultClientAccount = "default";
constexpr std::uint32_t MaxDeadlineMs = 600'000;
constexpr std::size_t MaxIdempotencyKeyBytes = 200;
/// Paths with this segment are reserved for traffic between VMs and targets.
constexpr std::string_view ReservedSegment = ".mill";

int readHexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

std::string decodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool IsEscape = text[i] == '%' && i + 2 < text.size();
    const int high = IsEscape ? readHexDigit(text[i + 1]) : -1;
    const int low = IsEscape ? readHexDigit(text[i + 2]) : -1;
    if (high < 0 || low < 0) {
      decoded.push_back(text[i]);
      continue;
    }
    decoded.push_back(static_cast<char>(high * 16 + low));
    i += 2;
  }
  return decoded;
}

/// True if \p path contains the reserved segment in any spelling (case, percent
/// escapes): callers must not reach the grants of a target through the gateway.
bool isReservedPath(std::string_view path) {
  const std::string decoded = decodePercent(path);
  std::string_view rest = decoded;
  while (true) {
    const std::size_t end = rest.find_first_of("/\\;?#");
    if (equalsIgnoringCase(rest.substr(0, end), ReservedSegment))
      return true;
    if (end == std::string_view::npos)
      return false;
    rest.remove_prefix(end + 1);
  }
}

bool isServiceName(std::string_view name) {
  return !name.empty() && std::ranges::all_of(name, [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  });
}

bool isPrintable(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return c >= 32 && c < 127; });
}

base::Result<std::uint32_t> readDeadline(std::string_view text) {
  std::uint32_t value = 0;
  const char *end = text.data() + text.size();
  const auto [ptr, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || ptr != end || value == 0 || value > MaxDeadlineMs)
    return base::fail(ResultCode::BadDeadline,
                      "Mill-Deadline-Ms must be 1 to 600000");
  return value;
}

/// Parses the service and the request target from "/s/SERVICE/PATH?QUERY".
base::Result<void> readPath(std::string_view text,
                            protocol::ForwardRequest &request) {
  text.remove_prefix(ServicePrefix.size());
  const std::size_t end = text.find_first_of("/?");
  const std::string_view service = text.substr(0, end);
  if (!isServiceName(service))
    return base::fail(ResultCode::UnknownRoute,
                      "the path contains no valid service name");
  std::string_view rest =
      end == std::string_view::npos ? std::string_view() : text.substr(end);
  if (isReservedPath(rest.substr(0, rest.find('?'))))
    return base::fail(ResultCode::UnknownRoute,
                      "paths with the segment .mill are reserved");
  request.Service = base::ServiceId(service);
  request.Target =
      rest.starts_with('/') ? std::string(rest) : "/" + std::string(rest);
  return base::ok();
}

base::Result<void> readMillHeaders(const std::vector<HttpHeader> &headers,
                                   protocol::ForwardRequest &request) {
  for (const auto name : {"Mill-Key", "Mill-Client-Account", "Mill-Deadline-Ms",
                          "Idempotency-Key"})
    if (countHeader(headers, name) > 1)
      return base::fail(ResultCode::BadRequest,
                        std::string(name) + " is given more than once");
  request.Key = findHeader(headers, "Mill-Key");
  const auto account = findHeader(headers, "Mill-Client-Account");
  request.ClientAccount =
      base::ClientAccountId(account.empty() ? DefaultClientAccount : account);
  request.IdempotencyKey = findHeader(headers, "Idempotency-Key");
  if (request.IdempotencyKey.size() > MaxIdempotencyKeyBytes ||
      !isPrintable(request.IdempotencyKey))
    return base::fail(ResultCode::BadRequest,
                      "Idempotency-Key must be at most 200 printable ASCII "
                      "characters");
  if (countHeader(headers, "Mill-Deadline-Ms") == 0)
    return base::ok();
  auto deadline = readDeadline(findHeader(headers, "Mill-Deadline-Ms"));
  if (!deadline)
    return base::fail(deadline.error());
  request.DeadlineMs = deadline.value();
  return base::ok();
}

void answer(const AnswerSink &sink, ApiReply reply) {
  protocol::AnswerHead head;
  head.Status = reply.Status;
  head.Headers = std::move(reply.Headers);
  head.Headers.push_back({"Content-Type", std::move(reply.ContentType)});
  head.Length = reply.Body.size();
  sink.Head(std::move(head));
  if (!reply.Body.empty())
    sink.Chunk(std::move(reply.Body), nullptr);
  sink.End();
}

void answerText(const AnswerSink &sink, std::uint16_t status,
                std::string text) {
  ApiReply reply;
  reply.Status = status;
  reply.ContentType = "text/plain; charset=utf-8";
  reply.Body = std::move(text);
  answer(sink, std::move(reply));
}

std::string readBearerToken(const std::vector<HttpHeader> &headers) {
  constexpr std::string_view Scheme = "Bearer ";
  std::string_view value = findHeader(headers, "Authorization");
  if (!equalsIgnoringCase(value.substr(0, Scheme.size()), Scheme))
    return {};
  value.remove_prefix(Scheme.size());
  return std::string(value);
}

/// Counts a finished request by its result code.
void countOutcome(ResultCode code) {
  base::counter("mill_gateway_fates_total",
                "Ends of callers' requests by result code",
                {{"code", std::to_string(base::numberOf(code))}})
      .Increment();
}

/// Adds Mill-Outcome and Mill-Served-By to answers of targets and counts the
/// result codes of the requests.
AnswerSink markAnswered(AnswerSink sink) {
  static prometheus::Counter &Answered = base::counter(
      "mill_gateway_fates_total", "Ends of callers' requests by result code",
      {{"code", "0"}});
  AnswerSink marked = sink;
  marked.Head = [next = std::move(sink.Head)](protocol::AnswerHead head) {
    head.Headers.push_back({"Mill-Outcome", "answered"});
    if (!head.ServedBy.empty())
      head.Headers.push_back({"Mill-Served-By", head.ServedBy});
    next(std::move(head));
  };
  marked.End = [next = std::move(sink.End)] {
    Answered.Increment();
    next();
  };
  marked.Fail = [next =
                     std::move(sink.Fail)](protocol::RequestFailure failure) {
    countOutcome(failure.Code);
    next(std::move(failure));
  };
  return marked;
}

} // namespace

base::Result<protocol::ForwardRequest> readForwardRequest(HttpCall call) {
  protocol::ForwardRequest request;
  if (auto read = readPath(call.Target, request); !read)
    return base::fail(read.error());
  if (auto read = readMillHeaders(call.Headers, request); !read)
    return base::fail(read.error());
  stripForForwarding(call.Headers);
  request.Method = std::move(call.Method);
  request.Headers = std::move(call.Headers);
  request.Body = std::move(call.Body);
  return request;
}

protocol::CancelHook Routes::handle(HttpCall call, const AnswerSink &sink) {
  const std::string_view target = call.Target;
  const std::string_view path = target.substr(0, target.find('?'));
  if (path.starts_with(ServicePrefix))
    return forward(std::move(call), sink);
  if (path.starts_with("/v1/"))
    callApi(std::move(call), sink);
  else if (path == "/metrics")
    answerText(sink, 200, base::renderMetrics());
  else if (path == "/healthz")
    answerHealth(sink);
  else if (path == "/readyz")
    answerReadiness(sink);
  else
    sink.Fail({ResultCode::UnknownRoute, "no such resource", 0});
  return {};
}

protocol::CancelHook Routes::forward(HttpCall call, AnswerSink sink) {
  auto request = readForwardRequest(std::move(call));
  if (!request) {
    countOutcome(request.error().Code);
    sink.Fail({request.error().Code, request.error().Message, 0});
    return {};
  }
  return Handlers.OnRequest(std::move(request.value()),
                            markAnswered(std::move(sink)));
}

void Routes::callApi(HttpCall call, AnswerSink sink) {
  ApiRequest request;
  const std::string_view target = call.Target;
  const std::size_t mark = target.find('?');
  constexpr std::size_t PrefixBytes = std::string_view("/v1").size();
  request.Path = target.substr(
      PrefixBytes, mark == std::string_view::npos ? mark : mark - PrefixBytes);
  if (mark != std::string_view::npos)
    request.Query = target.substr(mark + 1);
  request.Method = std::move(call.Method);
  request.AccessToken = readBearerToken(call.Headers);
  request.ChangeId = findHeader(call.Headers, "Mill-Change-Id");
  request.Body = std::move(call.Body);
  request.From = std::move(call.From);
  Handlers.OnApi(std::move(request), [sink = std::move(sink)](ApiReply reply) {
    answer(sink, std::move(reply));
  });
}

void Routes::answerHealth(const AnswerSink &sink) {
  // Liveness means only that the process answers.
  answerText(sink, 200, "ok\n");
}

void Routes::answerReadiness(const AnswerSink &sink) {
  std::string reason =
      Handlers.DescribeUnready ? Handlers.DescribeUnready() : std::string();
  if (!reason.empty())
    return sink.Fail({ResultCode::NotRunNotReady, std::move(reason), 0});
  answerText(sink, 200, "ready\n");
}

} // namespace magnoliamill::gateway::internal
