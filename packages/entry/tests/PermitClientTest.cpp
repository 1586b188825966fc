// Tests which core is asked for a permit, and what an entry does when it does
// not answer.
#include "entry/PermitClient.h"
#include "base/Listener.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace std::chrono_literals;
using admission::PermitDecision;

namespace {

const std::vector<fleet::VmAddress> Cores{{"10.1.0.1", "dc-a"},
                                          {"10.2.0.1", "dc-b"},
                                          {"10.2.0.2", "dc-b"},
                                          {"10.3.0.1", "dc-c"}};
const base::MonoTime Start{1h};

/// A core on loopback that answers asks as \p Decide says, or not at all.
class Core {
public:
  Core() : Acceptor(EventLoop.context()) {
    REQUIRE(base::openListener(Acceptor, "127.0.0.1", 0));
    Acceptor.async_accept([this](boost::system::error_code ec,
                                 boost::asio::ip::tcp::socket socket) {
      if (ec)
        return;
      Link = std::make_shared<fleet::Link>(EventLoop.context());
      fleet::LinkHooks hooks;
      hooks.OnFrame = [this](const fleet::Frame &frame) { onFrame(frame); };
      hooks.OnClosed = [](const std::string &) {};
      Link->accept(std::move(socket), std::move(hooks));
    });
  }
  ~Core() {
    if (Link)
      Link->close();
  }

  std::uint16_t port() { return Acceptor.local_endpoint().port(); }
  void answer(std::uint64_t number, PermitDecision decision) {
    fleet::PermitReply reply;
    reply.Number = number;
    reply.Decision = decision;
    reply.Target = {"t", 7};
    Link->send(reply);
  }
  /// False when \p condition did not hold within 5 s.
  bool runUntil(const std::function<bool()> &condition) {
    const auto end = base::readMonotonic() + 5s;
    while (!condition() && base::readMonotonic() < end)
      EventLoop.context().run_one_for(10ms);
    return condition();
  }

  base::EventLoopThread EventLoop{"core", 64};
  std::vector<std::uint64_t> Asked;
  std::vector<fleet::PermitEnd> Ended;

private:
  void onFrame(const fleet::Frame &frame) {
    if (const auto *ask = std::get_if<fleet::PermitAsk>(&frame))
      Asked.push_back(ask->Number);
    if (const auto *end = std::get_if<fleet::PermitEnd>(&frame))
      Ended.push_back(*end);
  }

  boost::asio::ip::tcp::acceptor Acceptor;
  std::shared_ptr<fleet::Link> Link;
};

} // namespace

TEST_CASE("All entries ask the same core of the target's data centre") {
  const PermitPlaces places;
  std::map<std::string, int> count;
  for (int i = 0; i < 100; ++i)
    ++count[places.choose(Cores, "dc-b", "t-" + std::to_string(i), Start)];
  CHECK(count.size() == 2);
  CHECK(count["10.2.0.1"] > 30);
  CHECK(count["10.2.0.2"] > 30);

  SECTION("another data centre's core, if the target's has none") {
    CHECK_FALSE(places.choose(Cores, "dc-x", "t", Start).empty());
    CHECK(places.choose({}, "dc-b", "t", Start).empty());
  }
  SECTION("a core that did not answer is not replaced by another") {
    PermitPlaces avoiding;
    const auto core = avoiding.choose(Cores, "dc-b", "t", Start);
    avoiding.onFault(core, Start);
    CHECK(avoiding.choose(Cores, "dc-b", "t", Start + 1s).empty());
    CHECK(avoiding.choose(Cores, "dc-b", "t",
                          Start + PermitPlaces::AvoidTime) == core);
  }
}

TEST_CASE("An entry asks a core for permits") {
  Core core;
  PermitClient client(core.EventLoop, core.port(), {"10.1.9.1", "dc-a"});
  std::vector<PermitResult> results;
  const auto ask = [&] {
    admission::PermitRequest request;
    request.Timeout = 400ms;
    return client.ask(
        {{"127.0.0.1", "dc-a"}}, "dc-a", "t", request,
        [&](const PermitResult &result) { results.push_back(result); });
  };
  const auto number = ask();
  REQUIRE(number != 0);
  REQUIRE(core.runUntil([&] { return !core.Asked.empty(); }));

  SECTION("it is granted, and ended once") {
    core.answer(number, PermitDecision::Granted);
    REQUIRE(core.runUntil([&] { return !results.empty(); }));
    CHECK(results.front().Decision == PermitDecision::Granted);
    CHECK(results.front().Target.Id == "t");
    client.end(number, admission::PermitUse::Answered, 10ms);
    client.end(number, admission::PermitUse::Answered, 10ms);
    REQUIRE(core.runUntil([&] { return !core.Ended.empty(); }));
    CHECK(core.Ended.size() == 1);
    CHECK(core.Ended.front().Latency == base::Duration(10ms));
  }
  SECTION("it is queued first, for longer than an answer may take") {
    core.answer(number, PermitDecision::Queued);
    const auto end = base::readMonotonic() + 250ms;
    core.runUntil([&] { return base::readMonotonic() > end; });
    CHECK(results.empty());
    core.answer(number, PermitDecision::Refused);
    REQUIRE(core.runUntil([&] { return !results.empty(); }));
    CHECK(results.front().Decision == PermitDecision::Refused);
  }
  SECTION("without an answer the request goes on, and the core is left alone") {
    REQUIRE(core.runUntil([&] { return !results.empty(); }));
    CHECK(results.front().Decision == PermitDecision::Unknown);
    CHECK(ask() == 0);
  }
  SECTION("a caller that leaves is not called back") {
    client.end(number, admission::PermitUse::Abandoned, {});
    core.answer(number, PermitDecision::Granted);
    REQUIRE(core.runUntil([&] { return !core.Ended.empty(); }));
    CHECK(results.empty());
  }
}
