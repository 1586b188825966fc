// Tests updates of the view and the encodings of frames, commands and
// snapshots.
#include "fleet/View.h"
#include "fleet/FleetState.h"
#include "fleet/Frame.h"
#include "fleet/internal/FrameCompression.h"
#include "fleet/tests/UnknownFrames.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace magnoliamill;
using namespace magnoliamill::fleet;
using namespace std::chrono_literals;
using fleet::tests::makeUnknownFrame;

namespace {

const keyspace::TargetInstance A{"a", 5};

routing::Route makeRoute(std::string name, routing::ItemVersion version) {
  routing::Route route;
  route.Name = std::move(name);
  route.Version = version;
  route.Host = "h.example";
  route.PathPrefix = "/p/";
  route.Kind = routing::RouteKind::AtMostOnce;
  route.Timeout = std::chrono::milliseconds(800);
  route.LatencyObjective = std::chrono::milliseconds(300);
  route.Priority = 2;
  route.MaxAttempts = 3;
  route.Shares = {{"stock", 9}, {"roads", 1}};
  route.Document = "{\"x\":1}";
  return route;
}

Target makeTarget() {
  return {A, 7, "10.0.0.1:80", "stock", "dc-a", 3, TargetState::Leaving};
}

ViewUpdate makeWhole(std::uint64_t number) {
  ViewUpdate update;
  update.Version = {3, number};
  update.IsWhole = true;
  update.Items.Routes = {makeRoute("r", 4)};
  update.Targets = {makeTarget()};
  update.Holders = {{"stock", 4, {{0, A}, {3, A}}}};
  update.Cores = {{"10.0.0.9", "dc-a"}};
  return update;
}

} // namespace

TEST_CASE("A view follows the updates of the leader") {
  View view;
  REQUIRE(view.apply(makeWhole(1)) == View::Outcome::Applied);
  CHECK(*view.holderOf("stock", 0) == A);
  CHECK(view.holderOf("stock", keyspace::KeyCount / 4) == nullptr);
  CHECK(view.holderOf("other", 0) == nullptr);

  ViewUpdate next;
  next.Version = {3, 2};
  next.Holders = {{"stock", 4, {{0, std::nullopt}}}};
  next.GoneTargets = {A};

  SECTION("the next update changes what it contains") {
    CHECK(view.apply(next) == View::Outcome::Applied);
    CHECK(view.holderOf("stock", 0) == nullptr);
    CHECK(*view.holderOf("stock", keyspace::KeyCount - 1) == A);
    CHECK(view.findTarget(A) == nullptr);
    CHECK(view.cores().size() == 1);
  }
  SECTION("an update after a gap changes only configuration items") {
    next.Version.Number = 3;
    next.Items.Routes = {makeRoute("fresh", 1)};
    CHECK(view.apply(next) == View::Outcome::Gap);
    CHECK(*view.holderOf("stock", 0) == A);
    CHECK(view.config().findRoute("fresh") != nullptr);
  }
  SECTION("an update of an earlier term reverts nothing") {
    auto old = makeWhole(1);
    old.Version = {2, 90};
    old.Items.Routes = {makeRoute("r", 3)};
    old.Targets.clear();
    CHECK(view.apply(old) == View::Outcome::Stale);
    CHECK(view.config().findRoute("r")->Version == 4);
    CHECK(view.findTarget(A) != nullptr);
  }
  SECTION("a new leader's complete view replaces the holders") {
    auto whole = makeWhole(1);
    whole.Version = {4, 1};
    whole.Holders = {{"stock", 4, {{1, A}}}};
    CHECK(view.apply(whole) == View::Outcome::Applied);
    CHECK(view.holderOf("stock", 0) == nullptr);
  }
}

TEST_CASE("Decoded frames equal the encoded ones") {
  const auto RoundTrip = [](const Frame &frame) {
    auto decoded = decodeFrame(encodeFrame(frame));
    REQUIRE(decoded);
    return std::move(decoded.value());
  };
  SECTION("a whole view") {
    const auto update = std::get<ViewUpdate>(RoundTrip(makeWhole(8)));
    CHECK(update.Version == ViewVersion{3, 8});
    CHECK(update.Items.Routes == makeWhole(8).Items.Routes);
    CHECK(update.Targets == makeWhole(8).Targets);
    View sent;
    sent.apply(makeWhole(8));
    View received;
    received.apply(update);
    for (std::uint32_t key = 0; key < keyspace::KeyCount; key += 4096) {
      const auto *holder = received.holderOf("stock", key);
      CHECK((holder != nullptr) == (sent.holderOf("stock", key) != nullptr));
      if (holder)
        CHECK(*holder == A);
    }
    CHECK(update.Cores == makeWhole(8).Cores);
  }
  SECTION("changes of some holders") {
    ViewUpdate update;
    update.Version = {3, 2};
    update.Holders = {{"stock", 4, {{1, A}, {0, std::nullopt}}}};
    const auto decoded = std::get<ViewUpdate>(RoundTrip(update));
    REQUIRE(decoded.Holders.size() == 1);
    REQUIRE(decoded.Holders[0].Changes.size() == 2);
    CHECK(decoded.Holders[0].Changes[0].Holder == A);
    CHECK_FALSE(decoded.Holders[0].Changes[1].Holder);
  }
  SECTION("messages between replicas") {
    consensus::Message message{{base::VmId("x"), 1},
                               {base::VmId("y"), 2},
                               6,
                               consensus::VoteRequest{4, 5, true, false}};
    const auto batch =
        std::get<ConsensusBatch>(RoundTrip(ConsensusBatch{message}));
    REQUIRE(batch.size() == 1);
    CHECK(batch[0].To.Vm.Value == "y");
    CHECK(std::get<consensus::VoteRequest>(batch[0].Body).PreVote);
  }
  SECTION("calls and replies") {
    const auto call =
        std::get<Call>(RoundTrip(Call{9, CallKind::Leave, "t", "b"}));
    CHECK(call.Kind == CallKind::Leave);
    CHECK(call.Body == "b");
    const auto reply = std::get<CallReply>(RoundTrip(CallReply{9, 503, "x"}));
    CHECK(reply.Status == 503);
  }
}

TEST_CASE("A large configuration change is compressed to a small frame") {
  ViewUpdate update;
  update.Version = {3, 2};
  for (int i = 0; i < 1700; ++i) {
    auto route = makeRoute("r-" + std::to_string(i), 4);
    route.PathPrefix = "/p" + std::to_string(i * 7919) + "/";
    route.Document.clear();
    update.Items.Routes.push_back(std::move(route));
  }
  const std::string plain = encodeFrame(update);
  const std::string compressed = internal::compressFrame(plain);
  // A link of 5 Mbit/s, of which answers use most, carries this within half a
  // second.
  CHECK(compressed.size() < 60'000);
  auto Decompressed = internal::decompressFrame(compressed, plain.size());
  REQUIRE(Decompressed);
  CHECK(Decompressed.value() == plain);
  CHECK_FALSE(internal::decompressFrame(compressed, plain.size() - 1));
  CHECK_FALSE(internal::decompressFrame(
      compressed.substr(0, compressed.size() / 2), 1u << 24));
  CHECK_FALSE(internal::decompressFrame("x", 100));
}

TEST_CASE("Frames of other versions of the protocol are decoded") {
  SECTION("a hello states the sender's version; older builds state none") {
    const auto DecodeVersion = [](std::uint16_t stated) {
      Hello hello;
      hello.Protocol = stated;
      return std::get<Hello>(decodeFrame(encodeFrame(hello)).value()).Protocol;
    };
    CHECK(DecodeVersion(ProtocolVersion) == ProtocolVersion);
    CHECK(DecodeVersion(UINT16_MAX) == UINT16_MAX);
    CHECK(DecodeVersion(0) == FirstProtocolVersion);
  }
  SECTION("a confirmation of the view has its age; older builds send none") {
    const auto decoded =
        decodeFrame(encodeFrame(ViewCurrent{{2, 3}, 1500ms})).value();
    CHECK(std::get<ViewCurrent>(decoded).Version == ViewVersion{2, 3});
    CHECK(std::get<ViewCurrent>(decoded).Age == base::Duration(1500ms));
  }
  SECTION("a kind that a later version has added") {
    CHECK(std::get<UnknownFrame>(decodeFrame(makeUnknownFrame(999)).value())
              .Kind == 999);
  }
}

TEST_CASE("Malformed frames and commands are refused") {
  const std::string good = encodeFrame(makeWhole(1));
  rc::check([&good] {
    std::string bytes = good;
    const auto flips = *rc::gen::inRange(1, 6);
    for (int n = 0; n < flips; ++n)
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
          *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    // The bytes may be decoded or refused with this code; nothing else may
    // happen.
    auto decoded = decodeFrame(bytes);
    if (!decoded)
      RC_ASSERT(decoded.error().Code == base::ResultCode::PeerProtocol);
    auto command = decodeCommand(bytes);
    if (!command)
      RC_ASSERT(command.error().Code == base::ResultCode::LogDamaged);
  });
}

TEST_CASE("A snapshot holds the whole state") {
  FleetState state;
  routing::ConfigItems items;
  items.Routes = {makeRoute("r", 4)};
  routing::Route removed;
  removed.Name = "gone";
  removed.Version = 9;
  removed.IsRemoved = true;
  items.Routes.push_back(removed);
  state.apply(items, 1);
  state.apply(keyspace::KeyAssignment{"stock", 4, {A}, {{2, 0, 0, "h"}}}, 2);
  state.apply(TargetDeparture{A}, 3);
  const keyspace::GrantRecord grant{"stock", A, {"10.0.0.1:80", 8}};
  state.apply(decodeCommand(encodeCommand(grant)).value(), 4);

  FleetState copy;
  REQUIRE(copy.restore(state.encodeSnapshot()));
  CHECK(copy.hasDeparted(A));
  CHECK(copy.config().listAll().Routes == state.config().listAll().Routes);
  CHECK(copy.keys().find("stock")->tokenOf(2) == 2);
  CHECK(copy.keys().find("stock")->handoverOf(2) == "h");
  CHECK(*copy.keys().find("stock")->ownerOf(2) == A);
  REQUIRE(copy.keys().find("stock")->lastGrantOf(A));
  CHECK(*copy.keys().find("stock")->lastGrantOf(A) == grant.Heartbeat);

  SECTION("a damaged snapshot is refused") {
    CHECK_FALSE(copy.restore("not a snapshot"));
  }
}
