// Tests an entry beside a core of another build.
#include "LoopbackCore.h"
#include "SubscribedEntry.h"
#include "fleet/tests/UnknownFrames.h"

#include <array>
#include <atomic>
#include <thread>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace magnoliamill::entry::tests;
using namespace std::chrono_literals;
using fleet::tests::makeUnknownFrame;
using gateway::tests::waitFor;

namespace {

constexpr fleet::ViewVersion Version{1, 1};
/// An entry requests the list of other entries within this time.
constexpr base::Duration AskTime = 1s;

/// A core that states \p protocol, or nothing if that is 0.
class OtherCore {
public:
  explicit OtherCore(std::uint16_t protocol) : Protocol(protocol) {}

  std::uint16_t port() const { return Core.port(); }
  int countHellos() const { return Hellos; }
  int countEntriesAsks() const { return EntriesAsks; }

private:
  void onFrame(const LoopbackCore::LinkPtr &from, const fleet::Frame &frame) {
    if (std::holds_alternative<fleet::EntriesAsk>(frame)) {
      ++EntriesAsks;
      // As a core that does not have this kind of frame.
      if (Protocol < fleet::EntriesProtocolVersion)
        from->close();
    }
    if (!std::holds_alternative<fleet::Hello>(frame))
      return;
    ++Hellos;
    fleet::Hello hello;
    hello.Protocol = Protocol;
    if (Protocol > 0)
      from->send(hello);
    if (Protocol > fleet::ProtocolVersion)
      from->send(std::make_shared<const fleet::EncodedBytes>(
          fleet::EncodedBytes{makeUnknownFrame(999), false}));
    fleet::ViewUpdate update;
    update.Version = Version;
    update.IsWhole = true;
    update.Cores = {{"127.0.0.1", "dc-a"}};
    from->send(update);
    from->send(fleet::ViewCurrent{Version});
  }

  std::uint16_t Protocol;
  std::atomic<int> Hellos{0};
  std::atomic<int> EntriesAsks{0};
  LoopbackCore Core{
      [this](const auto &from, const auto &frame) { onFrame(from, frame); }};
};

} // namespace

TEST_CASE("An entry keeps its link to a core of an older or a newer build") {
  const std::uint16_t protocol = GENERATE(
      std::uint16_t{0}, fleet::EntriesProtocolVersion, fleet::ProtocolVersion,
      std::uint16_t{fleet::ProtocolVersion + 1});
  OtherCore core(protocol);
  SubscribedEntry entry(std::array{"127.0.0.1"}, core.port());
  CHECK(waitFor([&] { return entry.viewNumber() == Version.Number; }));
  CHECK(entry.acceptsStripeLoads() ==
        (protocol >= fleet::StripeLoadProtocolVersion));
  std::this_thread::sleep_for(AskTime);
  CHECK(core.countHellos() == 1);
  const bool HasEntries = protocol >= fleet::EntriesProtocolVersion;
  CHECK((core.countEntriesAsks() > 0) == HasEntries);
}
