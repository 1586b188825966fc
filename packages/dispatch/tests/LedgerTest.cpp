// Tests idempotency keys: a request under a key runs at most once, even if VMs
// lose their records or replies are lost.
#include "dispatch/Ledger.h"
#include "dispatch/LedgerQuorum.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace magnoliamill;
using namespace magnoliamill::dispatch;

namespace {

protocol::LedgerRequest step(protocol::LedgerStep kind, const char *request) {
  protocol::LedgerRequest out;
  out.Step = kind;
  out.Service = base::ServiceId("press-orders");
  out.IdempotencyKey = "release-7";
  out.Request = base::RequestId(request);
  return out;
}

using protocol::LedgerStep;
constexpr base::MonoTime Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("A ledger records which request began under a key", "[ledger]") {
  Ledger ledger({}, Start);
  ledger.setComplete();
  REQUIRE_FALSE(
      ledger.handle(step(LedgerStep::Begin, "first"), Start).value().Known);
  SECTION("the same request may begin again") {
    REQUIRE_FALSE(
        ledger.handle(step(LedgerStep::Begin, "first"), Start).value().Known);
  }
  SECTION("another request learns that the key is in use") {
    auto reply =
        ledger.handle(step(LedgerStep::Begin, "second"), Start).value();
    REQUIRE(reply.Known);
    REQUIRE_FALSE(reply.Finished);
  }
  SECTION("after the request finished, another one gets the stored answer") {
    auto end = step(LedgerStep::Finish, "first");
    end.Status = 201;
    end.Body = "run 12";
    REQUIRE(ledger.handle(end, Start).has_value());
    auto reply =
        ledger.handle(step(LedgerStep::Begin, "second"), Start).value();
    REQUIRE(reply.Finished);
    REQUIRE(reply.Status == 201);
    REQUIRE(reply.Body == "run 12");
  }
  SECTION("a request that certainly did not run frees its key") {
    REQUIRE(
        ledger.handle(step(LedgerStep::Forget, "first"), Start).has_value());
    REQUIRE_FALSE(
        ledger.handle(step(LedgerStep::Begin, "second"), Start).value().Known);
  }
  SECTION("no other request can free it") {
    REQUIRE(
        ledger.handle(step(LedgerStep::Forget, "second"), Start).has_value());
    REQUIRE(
        ledger.handle(step(LedgerStep::Begin, "third"), Start).value().Known);
  }
  SECTION("after the window the key is new") {
    auto later = Start + LedgerLimits().Window;
    REQUIRE_FALSE(
        ledger.handle(step(LedgerStep::Begin, "second"), later).value().Known);
  }
}

TEST_CASE("A request that was routed again keeps its key", "[ledger]") {
  Ledger ledger({}, Start);
  ledger.setComplete();
  REQUIRE_FALSE(
      ledger.handle(step(LedgerStep::Begin, "r@vm-1"), Start).value().Known);
  REQUIRE_FALSE(
      ledger.handle(step(LedgerStep::Begin, "r@vm-2"), Start).value().Known);
  SECTION("even if its first dispatcher's Forget arrives late") {
    REQUIRE(
        ledger.handle(step(LedgerStep::Forget, "r@vm-1"), Start).has_value());
    REQUIRE(ledger.handle(step(LedgerStep::Begin, "other@vm-3"), Start)
                .value()
                .Known);
  }
  SECTION("until its current dispatcher frees it") {
    REQUIRE(
        ledger.handle(step(LedgerStep::Forget, "r@vm-2"), Start).has_value());
    REQUIRE_FALSE(ledger.handle(step(LedgerStep::Begin, "other@vm-3"), Start)
                      .value()
                      .Known);
  }
}

TEST_CASE("A ledger that lost its records replies as incomplete", "[ledger]") {
  Ledger ledger({}, Start);
  REQUIRE_FALSE(
      ledger.handle(step(LedgerStep::Begin, "a"), Start).value().Complete);
  SECTION("until it has imported the keys that others hold") {
    ledger.importKeys({{base::ServiceId("press-orders"), "other", {}}}, Start);
    ledger.setComplete();
    REQUIRE(
        ledger.handle(step(LedgerStep::Begin, "a"), Start).value().Complete);
  }
  SECTION("or until all lost keys are older than the window") {
    REQUIRE(ledger.isComplete(Start + LedgerLimits().Window));
  }
}

TEST_CASE("Of two requests with one key at most one runs", "[ledger]") {
  // Three VMs record the key. Between the two requests any VM may lose its
  // records, and requests and replies may be lost at any time.
  bool held = rc::check("one key, two requests, restarts, lost replies", [] {
    std::vector<Ledger> vms(3, Ledger({}, Start));
    for (auto &vm : vms)
      vm.setComplete();
    auto attempt = [&](const char *name) {
      LedgerQuorum quorum(vms.size());
      for (auto &vm : vms) {
        bool delivered = *rc::gen::arbitrary<bool>();
        bool answered = *rc::gen::arbitrary<bool>();
        if (delivered) {
          auto reply = vm.handle(step(LedgerStep::Begin, name), Start);
          if (answered) {
            quorum.add(reply);
            continue;
          }
        }
        quorum.add(base::fail(base::ResultCode::PeerTimeout, ""));
      }
      return quorum.decision() == LedgerDecision::MayRun;
    };
    bool first = attempt("first");
    for (auto &vm : vms)
      if (*rc::gen::arbitrary<bool>())
        vm = Ledger({}, Start);
    bool second = attempt("second");
    RC_ASSERT(!(first && second));
  });
  REQUIRE(held);
}
