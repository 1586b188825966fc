// Checks that every call between two healthy VMs arrives with all its fields.
#include "PeerNode.h"

#include <catch2/catch.hpp>
#include <future>

using namespace magnoliamill;
using namespace magnoliamill::peer;
using namespace magnoliamill::peer::tests;
using base::ResultCode;

namespace {

constexpr base::Duration Limit = std::chrono::seconds(5);

// Answers a call from another thread, as the event loops of the process do.
template <typename Task> void answerLater(Task task) {
  std::thread(std::move(task)).detach();
}

template <typename Reply> struct PendingResult {
  protocol::Reply<Reply> hook() {
    return [this](base::Result<Reply> r) { Promise.set_value(std::move(r)); };
  }
  base::Result<Reply> wait() {
    auto future = Promise.get_future();
    REQUIRE(future.wait_for(std::chrono::seconds(20)) ==
            std::future_status::ready);
    return future.get();
  }
  std::promise<base::Result<Reply>> Promise;
};

PeerHandlers makeEchoHandlers() {
  PeerHandlers handlers;
  handlers.OnPropose = [](auto request, auto reply) {
    answerLater([=] { reply(protocol::ProposeReply{7, request.Command}); });
  };
  handlers.OnFetch = [](auto request, auto reply) {
    protocol::FetchReply fetched;
    fetched.Entries = {{request.After + 1, 2, consensus::EntryKind::NoOp, "e"}};
    fetched.Commit = request.InForce;
    answerLater([=] { reply(fetched); });
  };
  handlers.OnLease = [](auto request, auto reply) {
    reply(protocol::LeaseReply{request.SentAtUs, 600, request.Leaving});
  };
  handlers.OnAnnounce = [](auto, auto reply) {
    reply(base::fail(ResultCode::TargetNotAllowed, "not in the settings"));
  };
  handlers.OnForward = [](auto request, auto sink) -> protocol::CancelHook {
    answerLater([=] {
      sink.Head({200, {{"X-Id", request.Id.Value}}, std::nullopt, "vm-b"});
      sink.Chunk(request.Body, [sink] { sink.End(); });
    });
    return [] {};
  };
  return handlers;
}

} // namespace

TEST_CASE("Two VMs exchange calls over a link", "[peer]") {
  PeerNode a("vm-a");
  PeerNode b("vm-b", makeEchoHandlers());
  REQUIRE(a.Links.start());
  REQUIRE(b.Links.start());
  REQUIRE_FALSE(a.Links.isAlive(b.Vm));
  REQUIRE(a.connect(b.address()));

  SECTION("proposals bring back index and outcome") {
    PendingResult<protocol::ProposeReply> reply;
    a.Links.propose(b.Vm, {protocol::GroupKind::DataCentre, "cmd"}, Limit,
                    reply.hook());
    auto got = reply.wait().value();
    REQUIRE(got.Index == 7);
    REQUIRE(got.Outcome == "cmd");
  }
  SECTION("fetches bring back entries") {
    PendingResult<protocol::FetchReply> reply;
    a.Links.fetch(b.Vm, {protocol::GroupKind::Settings, 4, 0, a.Vm, 3}, Limit,
                  reply.hook());
    auto got = reply.wait().value();
    REQUIRE(got.Entries.at(0).Index == 5);
    REQUIRE(got.Commit == 3);
    REQUIRE_FALSE(got.Snapshot);
  }
  SECTION("a lease reply repeats the time of the request") {
    PendingResult<protocol::LeaseReply> reply;
    a.Links.renewLease(b.Vm, {a.Vm, 1, 1234, true, "report"}, Limit,
                       reply.hook());
    auto got = reply.wait().value();
    REQUIRE(got.SentAtUs == 1234);
    REQUIRE(got.Granted);
  }
  SECTION("a refusal keeps its code and message") {
    PendingResult<protocol::AnnounceReply> reply;
    a.Links.announce(b.Vm, {"{}"}, Limit, reply.hook());
    auto got = reply.wait();
    REQUIRE(got.error().Code == ResultCode::TargetNotAllowed);
    REQUIRE(got.error().Message == "not in the settings");
  }
  SECTION("a call that the peer does not serve is refused") {
    PendingResult<protocol::QueryReply> reply;
    a.Links.query(b.Vm, {"owners", ""}, Limit, reply.hook());
    REQUIRE(reply.wait().error().Code == ResultCode::PeerRefused);
  }
  SECTION("a call to an unknown VM, or to itself, is unreachable") {
    for (const auto &vm : {base::VmId("vm-z"), a.Vm}) {
      PendingResult<protocol::QueryReply> reply;
      a.Links.query(vm, {"owners", ""}, Limit, reply.hook());
      REQUIRE(reply.wait().error().Code == ResultCode::PeerUnreachable);
    }
  }
  SECTION("a forwarded request brings back the whole answer") {
    RecordedAnswer answer;
    a.Links.forward(b.Vm, makeRequest("ping"), answer.makeSink());
    REQUIRE(answer.waitForEnd());
    REQUIRE(answer.code() == ResultCode::Ok);
    REQUIRE(answer.Head->Status == 200);
    REQUIRE(answer.Head->ServedBy == "vm-b");
    REQUIRE(answer.Head->Headers.at(0).Value == "r-1");
    REQUIRE(answer.Body == "ping");
  }
  SECTION("after stopping, everything is refused at once") {
    a.Links.stop();
    RecordedAnswer answer;
    a.Links.forward(b.Vm, makeRequest(), answer.makeSink());
    REQUIRE(answer.code() == ResultCode::NotRunPeerUnreachable);
    PendingResult<protocol::QueryReply> reply;
    a.Links.query(b.Vm, {"owners", ""}, Limit, reply.hook());
    REQUIRE(reply.wait().error().Code == ResultCode::Stopping);
  }
}

TEST_CASE("Group messages arrive in order", "[peer]") {
  std::mutex mutex;
  std::vector<consensus::LogIndex> seen;
  PeerHandlers handlers;
  handlers.OnGroupMessages = [&](auto messages) {
    std::lock_guard lock(mutex);
    for (const auto &message : messages)
      seen.push_back(
          std::get<consensus::AppendReply>(message.Message.Body).Index);
  };
  PeerNode b("vm-b", handlers);
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  REQUIRE(b.Links.start());
  REQUIRE(a.connect(b.address()));
  constexpr consensus::LogIndex Count = 5000;
  for (consensus::LogIndex i = 0; i < Count; ++i) {
    protocol::GroupMessage message;
    message.Message = {
        {a.Vm, 1}, {b.Vm, 1}, 1, consensus::AppendReply{true, i, 0}};
    a.Links.sendGroupMessages(b.Vm, {message});
  }
  REQUIRE(waitFor([&] {
    std::lock_guard lock(mutex);
    return seen.size() == Count;
  }));
  REQUIRE(std::ranges::is_sorted(seen));
}

TEST_CASE("An address in use is reported at start", "[peer]") {
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  PeerNode b("vm-b", {}, [&](PeerConfig &config) {
    config.Self.Port = a.Links.listenPort();
  });
  REQUIRE(b.Links.start().error().Code == ResultCode::ListenFailed);
}
