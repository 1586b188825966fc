// Tests routing at the entry VM: where a request goes and how long it may wait.
#include "dispatch/Router.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::dispatch;
using namespace std::chrono_literals;

namespace {

const base::ServiceId Service("barnstock");
const base::DataCentreId Here("dc-a");
const base::DataCentreId There("dc-b");

struct Scene {
  std::shared_ptr<settings::View> Settings = std::make_shared<settings::View>();
  std::shared_ptr<ownership::View> Ownership =
      std::make_shared<ownership::View>();
  Router Subject{{.Self = base::VmId("a1"),
                  .DataCentre = Here,
                  .MaxHeld = 2,
                  .Seed = 1,
                  .IsAlive = nullptr}};
  base::MonoTime Now{std::chrono::seconds(50)};

  Scene() {
    settings::ServiceView service;
    service.Id = Service;
    service.Keyed = true;
    service.Slots = 2;
    service.DataCentres = {Here, There};
    Settings->Services[Service] = service;
    Settings->Homes[Service] = {{Here, 1, {}}, {There, 1, {}}};
    for (const char *vm : {"a1", "a2"})
      Settings->Vms[base::VmId(vm)].DataCentre = Here;
    Settings->Vms[base::VmId("b1")].DataCentre = There;
    Subject.setSettings(Settings, Now);
  }

  RouteActions own(const char *dispatcher) {
    ownership::TargetView target;
    target.Instance = base::TargetInstanceId("t");
    target.Dispatcher = base::VmId(dispatcher);
    auto view = std::make_shared<ownership::View>();
    view->Targets[target.Instance] = target;
    view->Slots[Service].resize(2);
    view->Slots[Service][0].Owner = target.Instance;
    return Subject.setOwnership(view, Now);
  }

  RequestInfo request(const char *id, base::SlotNumber slot) const {
    RequestInfo info;
    info.Id = base::RequestId(id);
    info.Service = Service;
    info.Slot = slot;
    info.Deadline = Now + 500ms;
    return info;
  }
};

} // namespace

TEST_CASE("A keyed request goes to the dispatcher of its owner", "[dispatch]") {
  Scene scene;
  scene.own("a2");
  auto actions = scene.Subject.submit(scene.request("r", 0), true, scene.Now);
  REQUIRE(actions.Forward.size() == 1);
  REQUIRE(actions.Forward[0].Vm == base::VmId("a2"));

  SECTION("a request refused with NotRunNotOwner is routed again") {
    protocol::RequestFailure failure{base::ResultCode::NotRunNotOwner, "", 0};
    REQUIRE(scene.Subject.onFailure(base::RequestId("r"), failure, scene.Now)
                .End.empty());
    scene.Now += 5ms;
    auto moved = scene.own("a1");
    REQUIRE(moved.Forward.size() == 1);
    REQUIRE(moved.Forward[0].Vm == base::VmId("a1"));
  }
  protocol::RequestFailure lost{base::ResultCode::OutcomeUnknownPeerLost, "",
                                0};
  SECTION("an unknown outcome of a non-idempotent request is final") {
    auto ended = scene.Subject.onFailure(base::RequestId("r"), lost, scene.Now);
    REQUIRE(ended.End.size() == 1);
    REQUIRE(ended.Forward.empty());
  }
  SECTION("an idempotent request is sent again, a bounded number of times") {
    auto read = scene.request("read", 0);
    read.Idempotent = true;
    REQUIRE(scene.Subject.submit(read, true, scene.Now).Forward.size() == 1);
    for (int repeat = 0; repeat < 2; ++repeat) {
      REQUIRE(scene.Subject.onFailure(read.Id, lost, scene.Now).End.empty());
      scene.Now += 60ms;
      REQUIRE(scene.Subject.tick(scene.Now).Forward.size() == 1);
    }
    REQUIRE(scene.Subject.onFailure(read.Id, lost, scene.Now).End.size() == 1);
  }
}

TEST_CASE("A slot with another home data centre goes to a VM there",
          "[dispatch]") {
  Scene scene;
  auto actions = scene.Subject.submit(scene.request("r", 1), true, scene.Now);
  REQUIRE(actions.Forward[0].Vm == base::VmId("b1"));
  SECTION("but a request from there is not sent back") {
    auto again = scene.Subject.submit(scene.request("s", 1), false, scene.Now);
    REQUIRE(again.Forward.empty());
    REQUIRE(scene.Subject.countHeld() == 1);
  }
}

TEST_CASE("While nobody owns the slot", "[dispatch]") {
  Scene scene;
  REQUIRE(scene.Subject.submit(scene.request("r", 0), true, scene.Now)
              .Forward.empty());
  SECTION("requests wait and are forwarded once there is an owner") {
    REQUIRE(scene.own("a2").Forward.size() == 1);
  }
  SECTION("no more requests than the limit wait") {
    scene.Subject.submit(scene.request("s", 0), true, scene.Now);
    auto third = scene.Subject.submit(scene.request("t", 0), true, scene.Now);
    REQUIRE(third.End.size() == 1);
    REQUIRE(third.End[0].Failure.Code == base::ResultCode::NotRunNoTarget);
    REQUIRE(third.End[0].Failure.RetryAfterMs > 0);
  }
  SECTION("a request whose deadline passes fails") {
    scene.Now += 501ms;
    auto actions = scene.Subject.tick(scene.Now);
    REQUIRE(actions.End.size() == 1);
    REQUIRE(scene.Subject.countHeld() == 0);
  }
}
