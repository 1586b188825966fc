// Steps a replica's core, then sends, persists and applies what it returns.
#include "node/GroupRunner.h"

#include "base/Log.h"
#include "base/Metrics.h"
#include "consensus/PersistMerge.h"

#include <cstdlib>
#include <prometheus/gauge.h>

namespace magnoliamill::node {
namespace {

constexpr std::size_t WindowBytes = 8u << 20;
/// How often a write is repeated while the disk has no room.
constexpr base::Duration FullRetryInterval = std::chrono::milliseconds(100);

prometheus::Gauge &storageFullGauge() {
  return base::gauge("mill_storage_full",
                     "1 while the disk of the data folder has no room.");
}

} // namespace

GroupRunner::GroupRunner(base::EventLoopThread &eventloop,
                         base::EventLoopThread *storage,
                         GroupRunnerConfig config,
                         consensus::ReplicaConfig core,
                         consensus::OpenedStorage opened,
                         GroupRunnerHooks hooks)
    : EventLoop(eventloop), StorageThread(storage), Config(config),
      Hooks(std::move(hooks)), Store(std::move(opened.Store)),
      Core(std::move(core), opened.Restored, base::readMonotonic()),
      Window(WindowBytes), Timer(eventloop.context()),
      Applied(opened.Restored.SnapshotIndex), RetryTimer(eventloop.context()) {
  Window.restart(Applied);
  if (Applied > 0)
    Hooks.Restore({Applied, opened.Restored.SnapshotData});
}

GroupRunner::~GroupRunner() {
  *Alive = false;
  for (auto &[id, reply] : Proposals)
    reply(base::fail(base::ResultCode::ChangeOutcomeUnknown,
                     "the replica was stopped"));
}

void GroupRunner::start() { step(consensus::Tick{}); }

void GroupRunner::receive(consensus::Message message) {
  step(consensus::Receive{std::move(message)});
}

void GroupRunner::propose(std::string command,
                          protocol::Reply<protocol::ProposeReply> reply) {
  std::uint64_t id = NextProposal++;
  Proposals.emplace(id, std::move(reply));
  step(consensus::Propose{id, std::move(command)});
}

void GroupRunner::proposeMembership(consensus::Membership next) {
  step(consensus::ProposeMembership{NextProposal++, std::move(next)});
}

void GroupRunner::transferLeadership() {
  step(consensus::TransferLeadership{});
}

bool GroupRunner::isLeader() const {
  return Core.role() == consensus::Role::Leader;
}

void GroupRunner::step(const consensus::Event &event) {
  perform(Core.step(event, base::readMonotonic()));
  snapshotIfDue();
  armTimer();
  Hooks.AfterStep();
}

void GroupRunner::perform(consensus::Actions actions) {
  sendAll(std::move(actions.Send));
  if (actions.Restore) {
    Hooks.Restore(*actions.Restore);
    Applied = actions.Restore->Index;
    Window.restart(Applied);
  }
  persist(actions);
  applyCommitted(std::move(actions.Committed));
  finishProposals(std::move(actions.Proposals));
}

void GroupRunner::persist(consensus::Actions &actions) {
  if (!actions.Persist) {
    // Nothing new to write, but these messages must wait for the writes in
    // progress.
    if (Writes.empty())
      sendAll(std::move(actions.SendAfterPersist));
    else
      for (auto &message : actions.SendAfterPersist)
        Writes.back().SendAfter.push_back(std::move(message));
    return;
  }
  // The first write is in flight; those behind it are synced together.
  if (Writes.size() > 1 && consensus::mergePersistRequests(
                               Writes.back().Request, *actions.Persist)) {
    for (auto &message : actions.SendAfterPersist)
      Writes.back().SendAfter.push_back(std::move(message));
    return;
  }
  Writes.push_back(
      {std::move(*actions.Persist), std::move(actions.SendAfterPersist)});
  writeNext();
}

void GroupRunner::writeNext() {
  if (WriteInFlight || Writes.empty())
    return;
  WriteInFlight = true;
  // The runner may be destroyed before the write ends, so the task shares
  // ownership of the store and the request.
  auto request =
      std::make_shared<consensus::PersistRequest>(Writes.front().Request);
  auto write = [this, alive = Alive, store = Store, request] {
    auto written = store->write(*request);
    if (!written && written.error().Code == base::ResultCode::StorageFull)
      return EventLoop.postReply(
          [this, alive, message = written.error().Message] {
            if (*alive)
              onStorageFull(message);
          });
    if (!written) {
      // A replica that cannot persist what it promised to others must not
      // continue.
      base::logError("storage", written.error().Code, written.error().Message);
      std::abort();
    }
    EventLoop.postReply([this, alive, id = request->PersistId] {
      if (*alive)
        onWritten(id);
    });
  };
  if (StorageThread)
    StorageThread->postReply(std::move(write));
  else
    write();
}

void GroupRunner::onStorageFull(const std::string &message) {
  if (!FullSince) {
    FullSince = base::readMonotonic();
    storageFullGauge().Set(1);
    base::logWarning(
        "storage", base::ResultCode::StorageFull,
        "the disk has no room, writes wait",
        {{"error", message}, {"is_leader", isLeader()}, {"applied", Applied}});
  }
  RetryTimer.expires_after(FullRetryInterval);
  RetryTimer.async_wait(
      [this, alive = Alive](const boost::system::error_code &ec) {
        if (ec || !*alive)
          return;
        WriteInFlight = false;
        writeNext();
      });
}

void GroupRunner::recordRoom() {
  if (!FullSince)
    return;
  storageFullGauge().Set(0);
  base::logInfo("storage", "the disk has room again",
                {{"since_ms", base::toMs(base::readMonotonic() - *FullSince)},
                 {"is_leader", isLeader()},
                 {"applied", Applied},
                 {"waiting", Writes.size()}});
  FullSince.reset();
}

void GroupRunner::onWritten(std::uint64_t id) {
  WriteInFlight = false;
  recordRoom();
  auto messages = std::move(Writes.front().SendAfter);
  Writes.pop_front();
  sendAll(std::move(messages));
  step(consensus::Persisted{id});
  writeNext();
}

void GroupRunner::sendAll(std::vector<consensus::Message> messages) {
  std::map<base::VmId, std::vector<consensus::Message>> byvm;
  for (auto &message : messages)
    byvm[message.To.Vm].push_back(std::move(message));
  for (auto &[vm, batch] : byvm)
    Hooks.Send(vm, std::move(batch));
}

void GroupRunner::applyCommitted(std::vector<consensus::Entry> entries) {
  for (const auto &entry : entries) {
    std::string outcome = Hooks.Apply(entry);
    Applied = entry.Index;
    if (!Proposals.empty())
      Outcomes[entry.Index] = std::move(outcome);
  }
  Window.add(entries);
}

void GroupRunner::finishProposals(
    std::vector<consensus::ProposalOutcome> outcomes) {
  for (auto &outcome : outcomes) {
    auto node = Proposals.extract(outcome.ProposalId);
    if (node.empty())
      continue;
    if (!outcome.Index) {
      node.mapped()(base::fail(outcome.Index.error()));
      continue;
    }
    protocol::ProposeReply reply;
    reply.Index = outcome.Index.value();
    reply.Outcome = Outcomes[reply.Index];
    node.mapped()(std::move(reply));
  }
  Outcomes.clear();
}

void GroupRunner::snapshotIfDue() {
  if (Applied - Core.snapshotIndex() < Config.SnapshotEvery)
    return;
  perform(Core.step(consensus::SnapshotTaken{Applied, Hooks.TakeSnapshot()},
                    base::readMonotonic()));
}

void GroupRunner::armTimer() {
  Timer.expires_after(base::delayUntil(Core.nextWake()));
  Timer.async_wait([this, alive = Alive](const boost::system::error_code &ec) {
    if (!ec && *alive)
      step(consensus::Tick{});
  });
}

} // namespace magnoliamill::node
