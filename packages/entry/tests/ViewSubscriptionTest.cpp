// Tests how long an entry stays without updates of the view when cores are cut
// off.
#include "LoopbackCore.h"
#include "SubscribedEntry.h"

#include <array>
#include <mutex>
#include <optional>
#include <thread>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace magnoliamill::entry::tests;
using namespace std::chrono_literals;
using gateway::tests::waitFor;

namespace {

/// The time after its acknowledgement at which a departure is in force.
constexpr base::Duration DrainTime = 2s;
/// How often the leader confirms the view.
constexpr base::Duration ConfirmInterval = 400ms;
constexpr std::array Hosts{"127.0.81.1", "127.0.81.2", "127.0.81.3"};
constexpr fleet::ViewVersion OldView{1, 1};
constexpr fleet::ViewVersion NewView{1, 2};

std::uint16_t findFreePort() {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address(Hosts.front()), 0});
  return acceptor.local_endpoint().port();
}

fleet::ViewUpdate makeView(fleet::ViewVersion version) {
  fleet::ViewUpdate update;
  update.Version = version;
  update.IsWhole = true;
  for (const auto *host : Hosts)
    update.Cores.push_back({host, "dc-a"});
  return update;
}

/// Three cores with the same view until some of them are cut off from
/// the leader: the one that the entry follows, then those that it contacts
/// next.
class Cores {
public:
  std::uint16_t port() const { return Port; }
  /// All cores confirm the view that they have in common.
  void confirmOld() {
    broadcast(OldView, [](const State &) { return true; });
  }
  /// The cores that are not cut off confirm the new view.
  void confirmNew() {
    broadcast(NewView, [](const State &core) { return core.HasNewView; });
  }
  /// If \p report, they send how long the leader has not confirmed their view.
  void cutOff(std::size_t count, bool report) {
    const std::lock_guard lock(Mutex);
    Followed->IsCutOff = true;
    ToCutOff = count - 1;
    CutAt = base::readMonotonic();
    ReportsAge = report;
  }

private:
  struct State {
    bool IsCutOff = false;
    bool HasNewView = false;
  };

  void onFrame(State &core, const LoopbackCore::LinkPtr &from,
               const fleet::Frame &frame) {
    const auto *hello = std::get_if<fleet::Hello>(&frame);
    if (!hello)
      return;
    const std::lock_guard lock(Mutex);
    Followed = &core;
    if (CutAt && !core.IsCutOff && !core.HasNewView) {
      core.IsCutOff = ToCutOff > 0;
      core.HasNewView = !core.IsCutOff;
      ToCutOff -= core.IsCutOff ? 1 : 0;
    }
    const auto version = core.HasNewView ? NewView : OldView;
    if (hello->KnownView < version)
      from->send(makeView(version));
    if (core.IsCutOff && ReportsAge)
      from->send(fleet::ViewCurrent{OldView, base::readMonotonic() - *CutAt});
  }
  LoopbackCore::FrameHook hookOf(State &core) {
    return [this, &core](const auto &from, const auto &frame) {
      onFrame(core, from, frame);
    };
  }
  void broadcast(fleet::ViewVersion version,
                 const std::function<bool(const State &)> &filter) {
    for (std::size_t i = 0; i < All.size(); ++i) {
      std::unique_lock lock(Mutex);
      const bool HasVersion = filter(States[i]);
      lock.unlock();
      if (HasVersion)
        All[i].broadcast(fleet::ViewCurrent{version});
    }
  }

  std::uint16_t Port = findFreePort();
  std::mutex Mutex;
  std::array<State, 3> States;
  /// The core that the entry contacted last.
  State *Followed = nullptr;
  std::size_t ToCutOff = 0;
  std::optional<base::MonoTime> CutAt;
  bool ReportsAge = false;
  std::array<LoopbackCore, 3> All{
      LoopbackCore{hookOf(States[0]), Hosts[0], Port},
      LoopbackCore{hookOf(States[1]), Hosts[1], Port},
      LoopbackCore{hookOf(States[2]), Hosts[2], Port}};
};

} // namespace

TEST_CASE("An entry has the leader's view within the drain time although the "
          "cores that it contacts first are cut off") {
  const std::size_t CutOffCount = GENERATE(1, 2);
  const bool ReportsAge = GENERATE(false, true);
  Cores cores;
  const SubscribedEntry entry(Hosts, cores.port());
  REQUIRE(waitFor([&] { return entry.viewNumber() == OldView.Number; }));
  // The first view may lead the entry to another core.
  for (int i = 0; i < 5; ++i) {
    std::this_thread::sleep_for(ConfirmInterval / 4);
    cores.confirmOld();
  }

  cores.cutOff(CutOffCount, ReportsAge);
  const auto start = base::readMonotonic();
  auto ConfirmAt = start;
  while (entry.viewNumber() != NewView.Number &&
         base::readMonotonic() < start + DrainTime + 5s) {
    if (base::readMonotonic() >= ConfirmAt) {
      cores.confirmNew();
      ConfirmAt += ConfirmInterval;
    }
    std::this_thread::sleep_for(5ms);
  }
  const auto delay = base::readMonotonic() - start;
  CHECK(entry.viewNumber() == NewView.Number);
  CHECK(base::toMs(delay) <= base::toMs(DrainTime));
}
