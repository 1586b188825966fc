// The frames that the VMs of a fleet send each other over a link, and their
// encoding.
#pragma once

#include "admission/PermitIssuer.h"
#include "base/Result.h"
#include "consensus/Types.h"
#include "dispatch/CrashReport.h"
#include "dispatch/TargetLoad.h"
#include "fleet/SpeedReport.h"
#include "fleet/StripeLoad.h"
#include "fleet/View.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace magnoliamill::fleet {

/// Version of the protocol between the VMs of a fleet. It rises with each new
/// kind of frame; a frame is sent only to a VM that has stated its version.
/// docs/PROTOCOL.md has the rules.
constexpr std::uint16_t ProtocolVersion = 3;
/// Version of VMs that state none.
constexpr std::uint16_t FirstProtocolVersion = 1;
/// The first version with EntriesAsk and EntryList.
constexpr std::uint16_t EntriesProtocolVersion = 2;
/// The first version with StripeLoadReport.
constexpr std::uint16_t StripeLoadProtocolVersion = 3;

/// The first frame of a link, from the side that opened it, and the answer of a
/// core to an entry's.
struct Hello {
  /// Numeric IP of the sender.
  std::string Host;
  std::string DataCentre;
  bool IsCore = false;
  /// Incarnation of the sender's replica, if it is a core.
  std::uint64_t Incarnation = 0;
  /// Subscribes to the view: the complete view, then its updates.
  bool WantsView = false;
  /// Version of the view that the sender already has; that one isn't sent
  /// again.
  ViewVersion KnownView;
  /// Host of the leader that the sender follows, if it is a core; empty when it
  /// knows none. A core that is not a member yet finds the leader by it.
  std::string Leader;
  /// What the sender understands.
  std::uint16_t Protocol = ProtocolVersion;
};

using ConsensusBatch = std::vector<consensus::Message>;

enum class CallKind : std::uint8_t {
  Heartbeat,
  Leave,
  ChangeConfig,
  ReadConfig,
  /// Evacuates the data centre Name.
  StartEvacuation,
  EndEvacuation
};

/// A call of a target or operator that a core passes to the leader. Name is the
/// target's id; Body is as the caller sent it.
struct Call {
  std::uint64_t Id = 0;
  CallKind Kind = CallKind::Heartbeat;
  std::string Name;
  std::string Body;
};

struct CallReply {
  std::uint64_t Id = 0;
  std::uint16_t Status = 0;
  std::string Body;
};

/// Confirms that Version was the leader's newest view.
struct ViewCurrent {
  ViewVersion Version;
  /// Time since the leader confirmed it.
  base::Duration Age{};
};

struct Ping {};
struct Pong {};

/// An entry asks a core for a permit; Number is unique on the link.
struct PermitAsk {
  std::uint64_t Number = 0;
  admission::PermitRequest Request;
};

struct PermitReply {
  std::uint64_t Number = 0;
  admission::PermitDecision Decision = admission::PermitDecision::Unknown;
  keyspace::TargetInstance Target;
  base::Duration RetryAfter{};
  /// How many entries ask this core for permits.
  std::uint32_t EntryCount = 1;
  /// Version of the core's view at the time of the decision.
  ViewVersion View{};
};

/// What a target's answer says about the target.
struct TargetNotice {
  /// Requests per second that it takes from all entries, if it limits them.
  std::optional<double> RateLimit;
  /// The load that it reported; not set if it reports none.
  std::optional<dispatch::TargetLoad> Load{};
};

/// Ends a permit, or the wait for one.
struct PermitEnd {
  std::uint64_t Number = 0;
  admission::PermitUse Use = admission::PermitUse::Abandoned;
  base::Duration Latency{};
  /// Not set if the target has not answered.
  std::optional<TargetNotice> Notice{};
  /// Version of the view by which the entry did not send the request, since the
  /// target is not ready there. Not set otherwise.
  std::optional<ViewVersion> ReturnedBy{};
};

/// An entry asks for other entries.
struct EntriesAsk {};

/// Some of the other entries that are linked to the core.
struct EntryList {
  std::vector<VmAddress> Entries;
};

/// A frame of a kind that a later version has added; only received. Links drop
/// it.
struct UnknownFrame {
  std::uint16_t Kind = 0;
};

using Frame =
    std::variant<Hello, ConsensusBatch, ViewUpdate, Call, CallReply,
                 ViewCurrent, Ping, Pong, SpeedReport, PermitAsk, PermitReply,
                 PermitEnd, dispatch::CrashReport, EntriesAsk, EntryList,
                 StripeLoadReport, UnknownFrame>;

std::string encodeFrame(const Frame &frame);
/// Error: PeerProtocol when \p bytes are malformed.
base::Result<Frame> decodeFrame(std::string_view bytes);

} // namespace magnoliamill::fleet
