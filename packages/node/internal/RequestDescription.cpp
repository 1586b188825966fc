// Describes requests; used by the entry VM and the dispatcher, so that both
// treat a request alike.
#include "node/RequestDescription.h"

#include "base/Hash.h"

#include <algorithm>

namespace magnoliamill::node {
namespace {

bool isIdempotentMethod(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

const settings::RouteRule *findRoute(const settings::ServiceView &service,
                                     std::string_view path) {
  auto it = std::ranges::find_if(service.Routes, [path](const auto &rule) {
    return path.starts_with(rule.Prefix);
  });
  return it == service.Routes.end() ? nullptr : &*it;
}

} // namespace

base::Result<dispatch::RequestInfo>
describeRequest(const settings::View &settings,
                protocol::ForwardRequest &request, base::MonoTime now) {
  auto it = settings.Services.find(request.Service);
  if (it == settings.Services.end())
    return base::fail(base::ResultCode::UnknownService,
                      "no service of this name is in force");
  const settings::ServiceView &service = it->second;
  if (service.Keyed && request.Key.empty())
    return base::fail(base::ResultCode::MissingKey,
                      "the service is keyed: send Mill-Key");
  if (service.OnlyListedClientAccounts &&
      !service.ClientAccountWeights.contains(request.ClientAccount))
    return base::fail(base::ResultCode::UnknownClientAccount,
                      "the service does not know this client account");
  if (request.DeadlineMs == 0)
    request.DeadlineMs =
        static_cast<std::uint32_t>(base::toMs(service.DefaultDeadline));

  dispatch::RequestInfo info;
  info.Id = request.Id;
  info.Service = request.Service;
  info.ClientAccount = request.ClientAccount;
  if (service.Keyed) {
    info.Slot = base::slotOfKey(service.Id, request.Key, service.Slots);
    info.KeyHash = base::hash64(request.Key);
  }
  info.Idempotent = isIdempotentMethod(request.Method);
  if (const auto *route = findRoute(service, request.Target)) {
    info.Class = route->Class;
    info.Idempotent = route->Idempotent.value_or(info.Idempotent);
  }
  info.NeedsLedgerRecord = !info.Idempotent && !request.IdempotencyKey.empty();
  info.Deadline = now + std::chrono::milliseconds(request.DeadlineMs);
  return info;
}

} // namespace magnoliamill::node
