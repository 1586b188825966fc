// Runs the simulated group under faults and checks every step.
#include "Cluster.h"

#include "consensus/MembershipCodec.h"
#include "consensus/PersistMerge.h"

#include <fmt/format.h>

namespace magnoliamill::consensus::tests {

namespace {

constexpr std::int64_t NoTime = -1;

bool holds(const std::vector<ReplicaId> &list, const ReplicaId &id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

std::string nameOfId(const ReplicaId &id) {
  return fmt::format("{}/{}", id.Vm.Value, id.Incarnation);
}

std::string makeCommand(std::uint64_t proposal, const Operation &op) {
  return fmt::format("{} {} {} {}", proposal,
                     op.Kind == OperationKind::Write ? 'w' : 'c', op.Value,
                     op.Expected);
}

} // namespace

void applyToDisk(const PersistRequest &request, DurableState &disk) {
  disk.Term = request.Term;
  disk.VotedFor = request.VotedFor;
  if (request.TruncateAfter)
    std::erase_if(disk.Entries, [&](const Entry &it) {
      return it.Index > *request.TruncateAfter;
    });
  if (request.InstallSnapshot) {
    const auto &image = *request.InstallSnapshot;
    disk.SnapshotIndex = image.Index;
    disk.SnapshotTerm = image.Term;
    disk.SnapshotData = image.Data;
    disk.Members = image.Members;
    std::erase_if(disk.Entries,
                  [&](const Entry &it) { return it.Index <= image.Index; });
  }
  for (const Entry &entry : request.Append)
    if (entry.Index > disk.SnapshotIndex)
      disk.Entries.push_back(entry);
}

Cluster::Cluster(const ClusterOptions &options)
    : Options(options), Random(options.Seed), Vms(options.Vms) {
  for (std::size_t n = 0; n < Vms.size(); ++n) {
    Vm &vm = Vms[n];
    vm.Id = {base::VmId(fmt::format("vm{}", n)), 1};
    vm.HasDisk = n < options.Disks;
    // The limits of the drift are the worst cases, so half of the VMs get them.
    const double way = 2 * chance() - 1;
    vm.Rate = 1 + options.Drift * (chance() < 0.5 ? way : way < 0 ? -1 : 1);
    vm.Offset = std::chrono::seconds(pick(1000));
    if (n < options.Voters)
      InitialMembers.Voters.push_back(vm.Id);
  }
  CommittedMembers.push_back(InitialMembers);
  for (std::size_t n = 0; n < Vms.size(); ++n) {
    if (n < options.Voters)
      Vms[n].Disk.Members = InitialMembers;
    start(n);
  }
}

void Cluster::start(std::size_t vm) {
  Vm &it = Vms[vm];
  ReplicaConfig config;
  config.Self = it.Id;
  config.MaxAppendBytes = Options.MaxAppendBytes;
  config.ElectionTimeoutMax =
      config.ElectionTimeoutMin + Options.ElectionSpread;
  config.Seed = Random();
  it.Applied = it.SnapshotAt = it.Disk.SnapshotIndex;
  it.Register =
      it.Disk.SnapshotData.empty() ? 0 : std::stoi(it.Disk.SnapshotData);
  it.Core = std::make_unique<ReplicaCore>(config, it.Disk, clockOf(vm));
  scheduleWake(vm);
}

void Cluster::stopProcess(std::size_t vm) {
  Vm &it = Vms[vm];
  ++it.Run;
  it.Core.reset();
  it.WakeAt = NoTime;
  it.PausedUntil = 0;
  it.OpenProposals.clear();
  it.CasOutcomes.clear();
}

void Cluster::crash(std::size_t vm) {
  Vm &it = Vms[vm];
  if (!it.Core)
    return;
  if (!it.HasDisk) {
    wipe(vm);
    return;
  }
  stopProcess(vm);
  // Some of the unsynced writes may have reached the disk anyway.
  std::size_t kept = it.Writes.empty() ? 0 : pick(it.Writes.size() + 1);
  for (const Write &write : it.Writes)
    if (kept > 0) {
      --kept;
      applyToDisk(write.Request, it.Disk);
    }
  it.Writes.clear();
}

void Cluster::restart(std::size_t vm) {
  if (!Vms[vm].Core)
    start(vm);
}

void Cluster::wipe(std::size_t vm) {
  stopProcess(vm);
  Vm &it = Vms[vm];
  it.Disk = DurableState();
  it.Writes.clear();
  ++it.Id.Incarnation;
}

void Cluster::pause(std::size_t vm, Duration duration) {
  Vms[vm].PausedUntil =
      std::max(Vms[vm].PausedUntil, TrueTime + duration.count());
}

bool Cluster::canLose(std::size_t vm) const {
  std::vector<Membership> InForce{CommittedMembers.back()};
  const auto AddUncommitted = [&](const Membership &members) {
    if (std::find(CommittedMembers.begin(), CommittedMembers.end(), members) ==
        CommittedMembers.end())
      InForce.push_back(members);
  };
  for (const Vm &it : Vms) {
    if (it.Core) {
      AddUncommitted(it.Core->membership());
      continue;
    }
    for (const Entry &entry : it.Disk.Entries)
      if (entry.Kind == EntryKind::Membership)
        AddUncommitted(decodeMembership(entry.Command).value());
  }
  for (const Membership &members : InForce) {
    std::size_t lost = 0;
    for (const ReplicaId &id : members.Voters)
      if (Vms[vmOf(id)].Id != id || vmOf(id) == vm)
        ++lost;
    if (lost > (members.Voters.size() - 1) / 2)
      return false;
  }
  return true;
}

MonoTime Cluster::clockOf(std::size_t vm) const {
  const Vm &it = Vms[vm];
  return MonoTime(it.Offset + Duration(static_cast<std::int64_t>(
                                  static_cast<double>(TrueTime) * it.Rate)));
}

std::int64_t Cluster::toTrueTime(std::size_t vm, MonoTime local) const {
  const Vm &it = Vms[vm];
  const auto since = (local.time_since_epoch() - it.Offset).count();
  return static_cast<std::int64_t>(static_cast<double>(since) / it.Rate) + 1;
}

Duration Cluster::pickDuration(Duration max) {
  return Duration(std::uniform_int_distribution<std::int64_t>(
      1, std::max<std::int64_t>(1, max.count()))(Random));
}

std::size_t Cluster::vmOf(const ReplicaId &id) const {
  return std::stoul(id.Vm.Value.substr(2));
}

void Cluster::at(std::int64_t time, std::size_t vm,
                 std::function<void()> work) {
  Queue.push({time, ++LastNumber, vm, Vms[vm].Run, std::move(work)});
}

void Cluster::run(Duration duration) {
  const std::int64_t end = TrueTime + duration.count();
  runUntil([&] { return TrueTime >= end; }, duration);
}

bool Cluster::runUntil(const std::function<bool()> &condition, Duration limit) {
  const std::int64_t end = TrueTime + limit.count();
  while (!condition()) {
    if (Queue.empty() || Queue.top().At > end) {
      TrueTime = end;
      return condition();
    }
    ScheduledEvent next = Queue.top();
    Queue.pop();
    TrueTime = std::max(TrueTime, next.At);
    const Vm &vm = Vms[next.Vm];
    if ((next.Run && next.Run != vm.Run) || !vm.Core)
      continue;
    if (vm.PausedUntil > TrueTime) {
      // A paused VM handles all events in the same order when it resumes.
      next.At = vm.PausedUntil;
      Queue.push(std::move(next));
      continue;
    }
    next.Action();
    checkLeaders();
  }
  return true;
}

void Cluster::scheduleWake(std::size_t vm) {
  Vm &it = Vms[vm];
  const std::int64_t wake =
      std::max(TrueTime, toTrueTime(vm, it.Core->nextWake()));
  if (it.WakeAt != NoTime && it.WakeAt <= wake)
    return;
  it.WakeAt = wake;
  at(wake, vm, [this, vm, wake] {
    if (Vms[vm].WakeAt != wake)
      return;
    Vms[vm].WakeAt = NoTime;
    step(vm, Tick{});
  });
}

void Cluster::step(std::size_t vm, const Event &event) {
  Actions actions = Vms[vm].Core->step(event, clockOf(vm));
  perform(vm, actions);
  if (Vms[vm].Applied >= Vms[vm].SnapshotAt + Options.SnapshotEvery)
    takeSnapshot(vm);
  scheduleWake(vm);
}

void Cluster::perform(std::size_t vm, Actions &actions) {
  Vm &it = Vms[vm];
  for (const Message &message : actions.Send)
    transmit(message);
  write(vm, actions);
  if (actions.Restore) {
    it.Applied = it.SnapshotAt = actions.Restore->Index;
    it.Register = std::stoi(actions.Restore->Data);
    if (!RegisterAt.contains(it.Applied) ||
        RegisterAt[it.Applied] != it.Register)
      fault(fmt::format("{} restored a wrong snapshot at {}", nameOfId(it.Id),
                        it.Applied));
  }
  for (const Entry &entry : actions.Committed)
    apply(vm, entry);
  for (const ProposalOutcome &outcome : actions.Proposals)
    recordOutcome(vm, outcome);
  for (const ReadOutcome &outcome : actions.Reads) {
    if (!outcome.Index)
      continue;
    if (outcome.Index.value() != it.Applied)
      fault("a read index is not the applied index");
    History[outcome.ReadId].Answer = it.Register;
    History[outcome.ReadId].End = TrueTime;
  }
}

void Cluster::write(std::size_t vm, Actions &actions) {
  Vm &it = Vms[vm];
  if (!actions.Persist && actions.SendAfterPersist.empty())
    return;
  if (!actions.Persist && it.Writes.empty())
    return fault("messages wait for a write that was not requested");
  // The first write is in flight; those behind it are synced together.
  const bool IsQueued =
      !actions.Persist ||
      (it.Writes.size() > 1 &&
       mergePersistRequests(it.Writes.back().Request, *actions.Persist));
  if (!IsQueued) {
    it.Writes.push_back({std::move(*actions.Persist), {}});
    const Duration delay =
        it.HasDisk ? pickDuration(Options.MaxSync) : Duration(0);
    if (it.Writes.size() == 1)
      at(TrueTime + delay.count(), vm, [this, vm] { finishWrite(vm); });
  }
  std::ranges::move(actions.SendAfterPersist,
                    std::back_inserter(it.Writes.back().HeldMessages));
}

void Cluster::finishWrite(std::size_t vm) {
  Vm &it = Vms[vm];
  Write write = std::move(it.Writes.front());
  it.Writes.pop_front();
  if (!it.Writes.empty())
    at(TrueTime + (it.HasDisk ? pickDuration(Options.MaxSync).count() : 0), vm,
       [this, vm] { finishWrite(vm); });
  applyToDisk(write.Request, it.Disk);
  for (const Message &message : write.HeldMessages)
    transmit(message);
  step(vm, Persisted{write.Request.PersistId});
}

void Cluster::transmit(const Message &message) {
  if (!FaultsDisabled && chance() < Options.DropRate)
    return;
  const std::size_t from = vmOf(message.From);
  const std::size_t to = vmOf(message.To);
  const int copies =
      !FaultsDisabled && chance() < Options.DuplicateRate ? 2 : 1;
  for (int n = 0; n < copies; ++n) {
    // Occasionally a message is delayed by more than any timeout.
    const bool late = !FaultsDisabled && chance() < 0.005;
    const Duration delay = pickDuration(late ? Duration(std::chrono::seconds(3))
                                             : Options.MaxDelay);
    const auto deliver = [this, from, to, message] {
      if (IsolatedVms.contains(from) == IsolatedVms.contains(to))
        step(to, Receive{message});
    };
    // A message may also reach a later run of the receiver.
    Queue.push({TrueTime + delay.count(), ++LastNumber, to, {}, deliver});
  }
}

void Cluster::apply(std::size_t vm, const Entry &entry) {
  Vm &it = Vms[vm];
  if (entry.Index != it.Applied + 1)
    fault(fmt::format("{} skipped from {} to {}", nameOfId(it.Id), it.Applied,
                      entry.Index));
  it.Applied = entry.Index;
  if (entry.Kind == EntryKind::Command) {
    const auto &text = entry.Command;
    char kind = 0;
    int value = 0;
    int expected = 0;
    unsigned long long number = 0;
    std::sscanf(text.c_str(), "%llu %c %d %d", &number, &kind, &value,
                &expected);
    const bool applies = kind == 'w' || it.Register == expected;
    it.CasOutcomes[entry.Index] = applies ? 1 : 0;
    if (applies)
      it.Register = value;
    if (NeverApplied.contains(text))
      fault("a dropped proposal was committed: " + text);
  }
  const auto [known, fresh] = CommittedEntries.emplace(entry.Index, entry);
  if (!fresh && known->second != entry)
    fault(fmt::format("{} committed another entry at {} (term {}, was {})",
                      nameOfId(it.Id), entry.Index, entry.Term,
                      known->second.Term));
  if (fresh) {
    RegisterAt[entry.Index] = it.Register;
    if (entry.Kind == EntryKind::Membership)
      CommittedMembers.push_back(decodeMembership(entry.Command).value());
  }
}

void Cluster::takeSnapshot(std::size_t vm) {
  Vm &it = Vms[vm];
  it.SnapshotAt = it.Applied;
  Actions actions = it.Core->step(
      SnapshotTaken{it.Applied, std::to_string(it.Register)}, clockOf(vm));
  perform(vm, actions);
}

void Cluster::recordOutcome(std::size_t vm, const ProposalOutcome &outcome) {
  const auto found = Proposed.find(outcome.ProposalId);
  if (found == Proposed.end())
    return;
  if (outcome.Index) {
    const LogIndex index = outcome.Index.value();
    const auto known = CommittedEntries.find(index);
    if (known == CommittedEntries.end() ||
        known->second.Command != found->second)
      fault(fmt::format("confirmed at {} but the log has another entry there",
                        index));
    Operation &op = History[outcome.ProposalId];
    op.End = TrueTime;
    if (op.Kind == OperationKind::CompareAndSet)
      op.Answer = Vms[vm].CasOutcomes[index];
    ++Confirmed;
  } else if (outcome.Index.error().Code == base::ResultCode::ProposalDropped) {
    NeverApplied.insert(found->second);
  }
}

std::optional<std::size_t> Cluster::findLeader() const {
  std::optional<std::size_t> out;
  for (std::size_t n = 0; n < Vms.size(); ++n)
    if (Vms[n].Core && Vms[n].Core->role() == Role::Leader)
      if (!out || Vms[n].Core->term() > Vms[*out].Core->term())
        out = n;
  return out;
}

std::size_t Cluster::pickProposer() {
  // Any leader if there is one, including one that was replaced without knowing
  // it yet.
  std::vector<std::size_t> leaders;
  for (std::size_t n = 0; n < Vms.size(); ++n)
    if (Vms[n].Core && Vms[n].Core->role() == Role::Leader)
      leaders.push_back(n);
  return leaders.empty() ? pick(Vms.size()) : leaders[pick(leaders.size())];
}

void Cluster::propose(Operation operation) {
  const std::size_t vm = pickProposer();
  if (!Vms[vm].Core)
    return;
  operation.Start = TrueTime;
  const std::uint64_t id = History.size();
  History.push_back(operation);
  const std::string command = makeCommand(id, operation);
  Proposed[id] = command;
  at(TrueTime, vm, [this, vm, id, command] { step(vm, Propose{id, command}); });
}

void Cluster::read() {
  const std::size_t vm = pickProposer();
  Operation operation;
  operation.Start = TrueTime;
  const std::uint64_t id = History.size();
  History.push_back(operation);
  at(TrueTime, vm, [this, vm, id] { step(vm, RequestRead{id}); });
}

void Cluster::readUnderLease() {
  for (std::size_t n = 0; n < Vms.size(); ++n) {
    const Vm &vm = Vms[n];
    if (!vm.Core || vm.PausedUntil > TrueTime ||
        !vm.Core->hasLeaderLease(clockOf(n)))
      continue;
    Operation operation;
    operation.Start = operation.End = TrueTime;
    operation.Answer = vm.Register;
    History.push_back(operation);
  }
}

void Cluster::repairMembership() {
  const auto leader = findLeader();
  if (!leader || Vms[*leader].PausedUntil > TrueTime)
    return;
  ReplicaCore &core = *Vms[*leader].Core;
  for (const Vm &vm : Vms) {
    Membership next = core.membership();
    const auto old = std::find_if(
        next.Voters.begin(), next.Voters.end(), [&](const auto &it) {
          return it.Vm == vm.Id.Vm && it.Incarnation < vm.Id.Incarnation;
        });
    if (old == next.Voters.end())
      continue;
    if (!holds(next.Learners, vm.Id)) {
      std::erase_if(next.Learners,
                    [&](const auto &it) { return it.Vm == vm.Id.Vm; });
      next.Learners.push_back(vm.Id);
    } else if (core.isCaughtUp(vm.Id)) {
      std::erase(next.Learners, vm.Id);
      *old = vm.Id;
    } else {
      continue;
    }
    return step(*leader, ProposeMembership{++LastMembershipProposal, next});
  }
}

void Cluster::changeMembership(std::size_t vm, bool add) {
  const auto leader = findLeader();
  if (!leader || Vms[*leader].PausedUntil > TrueTime)
    return;
  ReplicaCore &core = *Vms[*leader].Core;
  const ReplicaId id = Vms[vm].Id;
  Membership next = core.membership();
  if (!add) {
    const bool complete = std::all_of(
        next.Voters.begin(), next.Voters.end(),
        [this](const ReplicaId &it) { return Vms[vmOf(it)].Id == it; });
    if (!complete || !holds(next.Voters, id) || next.Voters.size() <= 3)
      return;
    std::erase(next.Voters, id);
  } else if (holds(next.Learners, id)) {
    std::erase(next.Learners, id);
    next.Voters.push_back(id);
  } else if (!holds(next.Voters, id)) {
    std::erase_if(next.Learners,
                  [&](const auto &it) { return it.Vm == id.Vm; });
    next.Learners.push_back(id);
  }
  const bool old =
      std::any_of(next.Voters.begin(), next.Voters.end(),
                  [&](const auto &it) { return it.Vm == id.Vm && it != id; });
  if (!old)
    step(*leader, ProposeMembership{++LastMembershipProposal, next});
}

void Cluster::proposeMembership(std::size_t leader, Membership next) {
  step(leader, ProposeMembership{++LastMembershipProposal, std::move(next)});
}

void Cluster::transferLeadership() {
  const auto leader = findLeader();
  if (leader && Vms[*leader].PausedUntil <= TrueTime)
    step(*leader, TransferLeadership{});
}

bool Cluster::settle() {
  FaultsDisabled = true;
  IsolatedVms.clear();
  for (std::size_t n = 0; n < Vms.size(); ++n) {
    Vms[n].PausedUntil = 0;
    restart(n);
  }
  const auto IsSettled = [&] {
    const auto leader = findLeader();
    if (!leader)
      return false;
    const ReplicaCore &core = *Vms[*leader].Core;
    if (core.commitIndex() != core.lastIndex() ||
        !core.hasLeaderLease(clockOf(*leader)))
      return false;
    for (const ReplicaId &id : core.membership().Voters)
      if (Vms[vmOf(id)].Id != id ||
          Vms[vmOf(id)].Core->commitIndex() != core.commitIndex())
        return false;
    return true;
  };
  for (int n = 0; n < 100 && !IsSettled(); ++n) {
    repairMembership();
    runUntil(IsSettled, std::chrono::milliseconds(300));
  }
  return IsSettled();
}

void Cluster::checkLeaders() {
  std::optional<std::size_t> holder;
  for (std::size_t n = 0; n < Vms.size(); ++n) {
    const Vm &vm = Vms[n];
    if (!vm.Core || vm.Core->role() != Role::Leader)
      continue;
    const auto known = Leaders.emplace(vm.Core->term(), vm.Id).first;
    if (known->second != vm.Id)
      fault(fmt::format("term {} has two leaders: {} and {}", vm.Core->term(),
                        nameOfId(known->second), nameOfId(vm.Id)));
    // A paused leader counts too: its lease must have expired by its own clock.
    if (!vm.Core->hasLeaderLease(clockOf(n)))
      continue;
    if (holder)
      fault(fmt::format("{} and {} both hold the lease at {} us",
                        nameOfId(Vms[*holder].Id), nameOfId(vm.Id), TrueTime));
    holder = n;
  }
}

std::vector<std::string> Cluster::findViolations() const {
  std::vector<std::string> out = Faults;
  // Proposals that were never committed had no effect.
  std::set<std::string> effective;
  for (const auto &[index, entry] : CommittedEntries)
    effective.insert(entry.Command);
  std::vector<Operation> known;
  for (std::size_t n = 0; n < History.size(); ++n) {
    const auto command = Proposed.find(n);
    if (command == Proposed.end() || effective.contains(command->second))
      known.push_back(History[n]);
    else if (History[n].End != Operation::Never)
      out.push_back("a confirmed proposal is not in the log");
  }
  if (!LinearizabilityChecker(std::move(known)).isLinearizable())
    out.emplace_back("the history is not linearizable");
  return out;
}

void Cluster::fault(const std::string &text) {
  if (Faults.size() < 5)
    Faults.push_back(
        fmt::format("seed {} at {} us: {}", Options.Seed, TrueTime, text));
}

} // namespace magnoliamill::consensus::tests
