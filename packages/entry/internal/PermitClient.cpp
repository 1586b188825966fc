// Opens links to the cores that are asked, and tracks the answers that are due.
#include "entry/PermitClient.h"

#include "base/Log.h"

#include <algorithm>

namespace magnoliamill::entry {

using admission::PermitDecision;
using base::ResultCode;

namespace {

/// How long a core may take for its first answer, which says at least that the
/// request is queued. If the answer takes longer, for example behind large
/// answers on a narrow link, asking costs more than it gains.
constexpr base::Duration AnswerTime = std::chrono::milliseconds(150);
/// Time beyond a request's timeout for the answer to a queued one.
constexpr base::Duration QueuedMargin = std::chrono::milliseconds(100);
constexpr base::Duration CheckInterval = std::chrono::milliseconds(20);

} // namespace

PermitClient::PermitClient(base::EventLoopThread &loop, std::uint16_t port,
                           fleet::VmAddress self)
    : EventLoop(loop), Port(port), Self(std::move(self)),
      Timer(loop.context()) {}

PermitClient::~PermitClient() {
  *Alive = false;
  for (const auto &[core, link] : Links)
    link->close();
}

std::uint64_t PermitClient::ask(const std::vector<fleet::VmAddress> &cores,
                                const std::string &centre,
                                const std::string &name,
                                admission::PermitRequest request,
                                ResultHook done) {
  const auto now = base::readMonotonic();
  const std::string core = Places.choose(cores, centre, name, now);
  if (core.empty())
    return 0;
  const std::uint64_t number = NextNumber++;
  Waiting[number] = {core, std::move(done), now + AnswerTime,
                     now + request.Timeout + QueuedMargin};
  linkTo(core)->send(fleet::PermitAsk{number, std::move(request)});
  armTimer();
  return number;
}

void PermitClient::end(std::uint64_t number, admission::PermitUse use,
                       base::Duration latency,
                       std::optional<fleet::TargetNotice> notice) {
  sendEnd({number, use, latency, notice});
}

void PermitClient::endDeparted(std::uint64_t number,
                               fleet::ViewVersion version) {
  sendEnd({number, admission::PermitUse::Abandoned, {}, std::nullopt, version});
}

void PermitClient::sendEnd(fleet::PermitEnd end) {
  std::string core;
  if (auto granted = Granted.extract(end.Number); !granted.empty())
    core = std::move(granted.mapped());
  else if (auto pending = Waiting.extract(end.Number); !pending.empty())
    core = std::move(pending.mapped().Core);
  // A link that was lost meanwhile has ended the permits given on it.
  if (auto it = Links.find(core); it != Links.end())
    it->second->send(end);
}

bool PermitClient::areMostSilent(const std::vector<fleet::VmAddress> &cores,
                                 base::MonoTime now) const {
  const auto silent =
      std::ranges::count_if(cores, [&](const fleet::VmAddress &core) {
        return Places.isAvoided(core.Host, now);
      });
  return static_cast<std::size_t>(silent) * 2 > cores.size();
}

std::uint32_t PermitClient::entryCount() const {
  std::uint32_t most = 1;
  for (const auto &[core, count] : EntryCounts)
    most = std::max(most, count);
  return most;
}

std::shared_ptr<fleet::Link> PermitClient::linkTo(const std::string &core) {
  auto &link = Links[core];
  if (link)
    return link;
  link = std::make_shared<fleet::Link>(EventLoop.context());
  fleet::LinkHooks hooks;
  hooks.OnFrame = [this](const fleet::Frame &frame) {
    if (const auto *reply = std::get_if<fleet::PermitReply>(&frame))
      onReply(*reply);
  };
  hooks.OnClosed = [this, core, alive = Alive,
                    weak = std::weak_ptr(link)](const std::string &reason) {
    if (!*alive)
      return;
    if (auto it = Links.find(core);
        it != Links.end() && it->second == weak.lock())
      onFault(core, reason);
  };
  link->open(core, Port, std::move(hooks));
  // Lets the core list this VM to other entries.
  fleet::Hello hello;
  hello.Host = Self.Host;
  hello.DataCentre = Self.DataCentre;
  link->send(hello);
  return link;
}

void PermitClient::onReply(const fleet::PermitReply &reply) {
  auto it = Waiting.find(reply.Number);
  if (it == Waiting.end())
    return;
  EntryCounts[it->second.Core] = reply.EntryCount;
  if (reply.Decision == PermitDecision::Queued) {
    it->second.AnswerBy = it->second.Timeout;
    return;
  }
  auto pending = std::move(Waiting.extract(it).mapped());
  if (reply.Decision == PermitDecision::Granted)
    Granted[reply.Number] = pending.Core;
  pending.Done({reply.Decision,
                reply.Target,
                reply.RetryAfter,
                {std::move(pending.Core), reply.View}});
}

void PermitClient::onFault(const std::string &core, const std::string &reason) {
  const auto now = base::readMonotonic();
  const auto known = Links.find(core);
  const bool IsKnown = known != Links.end();
  base::logWarning(
      "permit", ResultCode::PeerUnreachable,
      "a core does not issue permits, sending without them",
      {{"core", core},
       {"reason", reason},
       {"is_open", IsKnown && known->second->isOpen()},
       {"silent_ms",
        IsKnown ? base::toMs(now - known->second->lastHeard()) : 0},
       {"pending", Waiting.size()},
       {"granted", Granted.size()}});
  Places.onFault(core, now);
  if (auto link = Links.extract(core); !link.empty())
    link.mapped()->close();
  std::erase_if(Granted, [&](const auto &it) { return it.second == core; });
  std::vector<ResultHook> lost;
  std::erase_if(Waiting, [&](auto &it) {
    if (it.second.Core != core)
      return false;
    lost.push_back(std::move(it.second.Done));
    return true;
  });
  for (const auto &done : lost)
    done({});
}

void PermitClient::armTimer() {
  if (IsTimerArmed || Waiting.empty())
    return;
  IsTimerArmed = true;
  Timer.expires_after(CheckInterval);
  // A wait that has ended already can't be cancelled.
  Timer.async_wait([this, alive = Alive](const boost::system::error_code &ec) {
    if (ec || !*alive)
      return;
    IsTimerArmed = false;
    checkPending();
    armTimer();
  });
}

void PermitClient::checkPending() {
  const auto now = base::readMonotonic();
  const auto late = std::ranges::find_if(
      Waiting, [&](const auto &it) { return now >= it.second.AnswerBy; });
  if (late != Waiting.end())
    onFault(std::string(late->second.Core), "no answer");
}

} // namespace magnoliamill::entry
