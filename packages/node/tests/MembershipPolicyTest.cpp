// Tests that a group survives one loss after the other: the decided membership
// tolerates the next loss again as soon as the group has settled.
#include "node/MembershipPolicy.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace magnoliamill;
using namespace magnoliamill::node;
using consensus::Membership;
using consensus::ReplicaId;

namespace {

/// More steps than any sequence of membership changes needs.
constexpr int MaxSteps = 64;

/// Cores of a group whose leader applies every decided membership at once.
class Group {
public:
  struct Core {
    std::string DataCentre;
    std::uint64_t Incarnation = 1;
    bool IsUp = true;
  };

  Group(std::size_t centres, std::size_t PerCentre, std::size_t tolerance)
      : Tolerance(tolerance) {
    for (std::size_t i = 0; i < centres * PerCentre; ++i)
      add("dc-" + std::to_string(i / PerCentre));
    // One seed in each of the first data centres, as at the first start.
    for (std::size_t i = 0; i < 3; ++i)
      Members.Voters.push_back({nameOf(i * PerCentre % Cores.size()), 1});
    std::ranges::sort(Members.Voters);
    Members.Voters.erase(
        std::unique(Members.Voters.begin(), Members.Voters.end()),
        Members.Voters.end());
  }

  static base::VmId nameOf(std::size_t n) {
    return base::VmId(std::string("10.0.0.") + char('a' + n / 26) +
                      char('a' + n % 26));
  }
  base::VmId add(const std::string &centre) {
    auto vm = nameOf(NextName++);
    Cores[vm] = {centre};
    return vm;
  }
  void stop(const base::VmId &vm) { Cores.at(vm).IsUp = false; }
  void start(const base::VmId &vm, bool IsWiped = false) {
    Cores.at(vm).IsUp = true;
    Cores.at(vm).Incarnation += IsWiped ? 1 : 0;
  }

  bool isVoting(const ReplicaId &voter) const {
    const auto &core = Cores.at(voter.Vm);
    return core.IsUp && core.Incarnation == voter.Incarnation;
  }
  bool hasQuorum(const Membership &members) const {
    const std::size_t n = std::ranges::count_if(
        members.Voters, [&](const auto &it) { return isVoting(it); });
    return n > members.Voters.size() / 2;
  }
  bool hasQuorum() const { return hasQuorum(Members); }

  /// True if a quorum is left when one more disk is lost and all other cores
  /// return.
  bool toleratesLostDisk(const Membership &members) const {
    const std::size_t n =
        std::ranges::count_if(members.Voters, [&](const auto &it) {
          return Cores.at(it.Vm).Incarnation == it.Incarnation;
        });
    return n > members.Voters.size() / 2 + 1;
  }

  /// Applies decided memberships until none is due. Returns false if a step
  /// would leave the group without a quorum or without tolerance of a lost disk
  /// that it had before, or changes more than one voter.
  bool settle() {
    for (int i = 0; i < MaxSteps; ++i) {
      const auto next = decideMembership(inputs());
      if (!next)
        return true;
      if (!hasQuorum(*next) || countChanges(*next) > 1)
        return false;
      if (toleratesLostDisk(Members) && !toleratesLostDisk(*next))
        return false;
      Members = *next;
    }
    return false;
  }

  /// True if the group keeps a quorum when all of \p lost stop.
  bool survives(const std::vector<base::VmId> &lost) {
    Group copy = *this;
    for (const auto &vm : lost)
      copy.stop(vm);
    return copy.hasQuorum();
  }
  bool survivesEachDataCentre() {
    return std::ranges::all_of(Members.Voters, [&](const auto &voter) {
      return survives(coresIn(Cores.at(voter.Vm).DataCentre));
    });
  }
  bool survivesAnyVoters(std::size_t n) {
    std::vector<base::VmId> lost;
    for (const auto &voter : Members.Voters)
      if (isVoting(voter) && lost.size() < n)
        lost.push_back(voter.Vm);
    return survives(lost);
  }
  std::vector<base::VmId> coresIn(const std::string &centre) const {
    std::vector<base::VmId> found;
    for (const auto &[vm, core] : Cores)
      if (core.DataCentre == centre)
        found.push_back(vm);
    return found;
  }
  std::vector<base::VmId> running() const {
    std::vector<base::VmId> found;
    for (const auto &[vm, core] : Cores)
      if (core.IsUp)
        found.push_back(vm);
    return found;
  }
  bool isVoter(const base::VmId &vm) const {
    return std::ranges::find(Members.Voters, vm, &ReplicaId::Vm) !=
           Members.Voters.end();
  }

  Membership Members;
  std::map<base::VmId, Core> Cores;
  std::size_t Tolerance;

private:
  std::size_t countChanges(const Membership &next) const {
    const auto missing = [](const auto &from, const auto &in) {
      return std::ranges::count_if(from, [&](const auto &it) {
        return std::ranges::find(in, it) == in.end();
      });
    };
    return std::max(missing(Members.Voters, next.Voters),
                    missing(next.Voters, Members.Voters));
  }

  MembershipInputs inputs() const {
    MembershipInputs inputs;
    inputs.CurrentMembership = Members;
    inputs.KeepsStandbys = true;
    inputs.MinVoters = 2 * Tolerance + 1;
    for (const auto &[vm, core] : Cores) {
      inputs.Registered.insert(vm);
      inputs.DataCentres[vm] = core.DataCentre;
      if (core.IsUp)
        inputs.Candidates[vm] = core.Incarnation;
      else
        inputs.Silent.insert(vm);
    }
    for (const auto &voter : Members.Voters)
      if (inputs.Leader.empty() && isVoting(voter))
        inputs.Leader = voter.Vm;
    inputs.IsCaughtUp = [this](const ReplicaId &id) { return isVoting(id); };
    return inputs;
  }

  std::size_t NextName = 0;
};

base::VmId pick(const std::vector<base::VmId> &from) {
  return *rc::gen::elementOf(from);
}

void loseMachines(Group &group) {
  const auto n = *rc::gen::inRange<std::size_t>(1, group.Tolerance + 1);
  std::set<base::VmId> lost;
  while (lost.size() < n)
    lost.insert(pick(group.running()));
  const bool IsWiped = *rc::gen::arbitrary<bool>();
  for (const auto &vm : lost)
    group.stop(vm);
  RC_ASSERT(group.hasQuorum());
  if (*rc::gen::arbitrary<bool>())
    RC_ASSERT(group.settle());
  for (const auto &vm : lost)
    group.start(vm, IsWiped);
}

void loseDataCentre(Group &group) {
  const auto vm = pick(group.running());
  const auto lost = group.coresIn(group.Cores.at(vm).DataCentre);
  std::vector<base::VmId> stopped;
  for (const auto &it : lost)
    if (group.Cores.at(it).IsUp)
      stopped.push_back(it);
  for (const auto &it : stopped)
    group.stop(it);
  RC_ASSERT(group.hasQuorum());
  if (*rc::gen::arbitrary<bool>())
    RC_ASSERT(group.settle());
  for (const auto &it : stopped)
    group.start(it);
}

/// A successor at another address takes the place of a core for good.
void replaceMachine(Group &group) {
  const auto vm = pick(group.running());
  const bool IsPlanned = *rc::gen::arbitrary<bool>();
  if (!IsPlanned)
    group.stop(vm);
  group.add(group.Cores.at(vm).DataCentre);
  if (*rc::gen::arbitrary<bool>())
    RC_ASSERT(group.settle());
  group.stop(vm);
  RC_ASSERT(group.hasQuorum());
}

} // namespace

TEST_CASE("A core group tolerates the next loss after it has settled") {
  SECTION("a replaced voter that ends after its successor joined is removed") {
    Group group(3, 1, 1);
    REQUIRE(group.settle());
    const auto old = Group::nameOf(0);
    group.add("dc-0");
    REQUIRE(group.settle());
    CHECK(group.Members.Voters.size() % 2 == 1);
    group.stop(old);
    REQUIRE(group.settle());
    CHECK_FALSE(group.isVoter(old));
    CHECK(group.survivesAnyVoters(1));
  }

  SECTION("an even number of voters of an earlier version becomes odd") {
    Group group(4, 1, 1);
    group.Members.Voters.clear();
    for (std::size_t i = 0; i < 4; ++i)
      group.Members.Voters.push_back({Group::nameOf(i), 1});
    group.stop(Group::nameOf(3));
    REQUIRE(group.settle());
    CHECK(group.Members.Voters.size() == 3);
    CHECK(group.survivesAnyVoters(1));
  }

  SECTION("twelve cores in six data centres have at most one voter in each") {
    Group group(6, 2, 2);
    REQUIRE(group.settle());
    CHECK(group.Members.Voters.size() == 5);
    CHECK(group.Members.Learners.size() == 7);
    std::set<std::string> centres;
    for (const auto &voter : group.Members.Voters)
      centres.insert(group.Cores.at(voter.Vm).DataCentre);
    CHECK(centres.size() == 5);
  }

  SECTION("voters are not given up while commits need their disks") {
    Group group(5, 1, 2);
    REQUIRE(group.settle());
    group.stop(Group::nameOf(1));
    group.stop(Group::nameOf(3));
    REQUIRE(group.settle());
    CHECK(group.Members.Voters.size() == 5);
  }
}

TEST_CASE("Membership under schedules of losses, returns and replacements") {
  const bool Held = rc::check("the next loss leaves a quorum", [] {
    const auto tolerance = *rc::gen::inRange<std::size_t>(1, 3);
    const auto centres = *rc::gen::inRange<std::size_t>(3, 7);
    const std::size_t least = (2 * tolerance + centres) / centres;
    const auto each = *rc::gen::inRange(least, least + 3);
    Group group(centres, each, tolerance);
    RC_ASSERT(group.settle());
    const auto n = *rc::gen::inRange(1, 12);
    for (int i = 0; i < n; ++i) {
      switch (*rc::gen::inRange(0, 3)) {
      case 0:
        loseMachines(group);
        break;
      case 1:
        loseDataCentre(group);
        break;
      default:
        replaceMachine(group);
      }
      RC_ASSERT(group.settle());
      RC_ASSERT(group.Members.Voters.size() % 2 == 1);
      RC_ASSERT(group.survivesAnyVoters(group.Tolerance));
      RC_ASSERT(group.survivesEachDataCentre());
    }
  });
  CHECK(Held);
}
