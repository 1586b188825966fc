// Asks cores for permits to send requests to targets. A core that does not
// answer in time is left alone for a while, and requests are sent without a
// permit.
#pragma once

#include "base/EventLoopThread.h"
#include "entry/PermitPlaces.h"
#include "fleet/Link.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace magnoliamill::entry {

/// The core that decides on a permit, and the version of its view then.
struct PermitOrigin {
  std::string Core;
  fleet::ViewVersion View;
};

/// The final decision on a permit: granted, refused, or unknown if the request
/// has to be sent without a permit.
struct PermitResult {
  admission::PermitDecision Decision = admission::PermitDecision::Unknown;
  /// Set when granted.
  keyspace::TargetInstance Target;
  /// When refused.
  base::Duration RetryAfter{};
  /// Where the permit was asked for.
  PermitOrigin Origin{};
};

/// Not thread-safe: all methods run on the thread of the event loop.
class PermitClient {
public:
  using ResultHook = std::function<void(const PermitResult &)>;

  /// \p self is this VM.
  PermitClient(base::EventLoopThread &loop, std::uint16_t port,
               fleet::VmAddress self);
  ~PermitClient();

  /// Asks the core for \p name in \p centre. \p done is called once, not before
  /// ask() has returned. Returns the number of the permit, to be passed to
  /// end(); 0 if no core can be asked.
  std::uint64_t ask(const std::vector<fleet::VmAddress> &cores,
                    const std::string &centre, const std::string &name,
                    admission::PermitRequest request, ResultHook done);
  /// Ends a permit, or the wait for one: \p done is then not called any more.
  void end(std::uint64_t number, admission::PermitUse use,
           base::Duration latency,
           std::optional<fleet::TargetNotice> notice = std::nullopt);
  /// Ends a permit for a target that is not ready in the view \p version.
  void endDeparted(std::uint64_t number, fleet::ViewVersion version);
  /// Whether more than half of \p cores did not answer a moment ago.
  bool areMostSilent(const std::vector<fleet::VmAddress> &cores,
                     base::MonoTime now) const;
  /// How many entries ask the cores for permits, this one among them.
  std::uint32_t entryCount() const;

private:
  struct Pending {
    std::string Core;
    ResultHook Done;
    /// When the core has to answer: soon, or by the request's timeout once it
    /// is queued.
    base::MonoTime AnswerBy;
    base::MonoTime Timeout;
  };

  void sendEnd(fleet::PermitEnd end);
  std::shared_ptr<fleet::Link> linkTo(const std::string &core);
  void onReply(const fleet::PermitReply &reply);
  /// The core does not answer: its pending requests go on without a permit.
  void onFault(const std::string &core, const std::string &reason);
  void armTimer();
  void checkPending();

  base::EventLoopThread &EventLoop;
  std::uint16_t Port;
  fleet::VmAddress Self;
  PermitPlaces Places;
  std::map<std::string, std::shared_ptr<fleet::Link>> Links;
  std::map<std::uint64_t, Pending> Waiting;
  /// The core of each permit that was granted and is not ended.
  std::map<std::uint64_t, std::string> Granted;
  /// Set to false by the destructor.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  boost::asio::steady_timer Timer;
  bool IsTimerArmed = false;
  /// The number of entries that ask it, by core.
  std::map<std::string, std::uint32_t> EntryCounts;
  std::uint64_t NextNumber = 1;
};

} // namespace magnoliamill::entry
