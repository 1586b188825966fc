// Binary encoding of records: a type byte, then numbers as 8 little-endian
// bytes and strings with their length in front.
#include "consensus/internal/LogRecords.h"

#include "consensus/MembershipCodec.h"

namespace magnoliamill::consensus::internal {

namespace {

enum class RecordType : std::uint8_t { Vote = 1, Truncate = 2, Entry = 3 };

class Writer {
public:
  explicit Writer(std::string &out) : Out(out) {}

  void put(RecordType type) { Out.push_back(static_cast<char>(type)); }
  void put(std::uint64_t number) {
    for (int shift = 0; shift < 64; shift += 8)
      Out.push_back(static_cast<char>(number >> shift & 0xFF));
  }
  void put(std::string_view text) {
    put(static_cast<std::uint64_t>(text.size()));
    Out += text;
  }

private:
  std::string &Out;
};

class Reader {
public:
  explicit Reader(std::string_view bytes) : Remaining(bytes) {}

  bool isEnd() const { return Remaining.empty(); }
  bool hasFailed() const { return Failed; }

  std::uint8_t readByte() { return static_cast<std::uint8_t>(take(1)[0]); }
  std::uint64_t readNumber() {
    const std::string_view bytes = take(8);
    std::uint64_t out = 0;
    for (std::size_t n = 8; n > 0; --n)
      out = out << 8 | static_cast<unsigned char>(bytes[n - 1]);
    return out;
  }
  std::string_view readText() {
    const std::uint64_t size = readNumber();
    if (size > Remaining.size()) {
      Failed = true;
      return {};
    }
    const std::string_view out = Remaining.substr(0, size);
    Remaining.remove_prefix(size);
    return out;
  }

private:
  std::string_view take(std::size_t size) {
    static constexpr std::string_view Zeros("\0\0\0\0\0\0\0\0", 8);
    if (Remaining.size() < size) {
      Failed = true;
      Remaining = {};
      return Zeros;
    }
    const std::string_view out = Remaining.substr(0, size);
    Remaining.remove_prefix(size);
    return out;
  }

  std::string_view Remaining;
  bool Failed = false;
};

void truncate(DurableState &state, LogIndex index) {
  while (!state.Entries.empty() && state.Entries.back().Index > index)
    state.Entries.pop_back();
}

bool applyVote(Reader &in, DurableState &state) {
  state.Term = in.readNumber();
  const bool voted = in.readNumber() != 0;
  state.VotedFor.reset();
  if (!voted)
    return true;
  const std::string_view vm = in.readText();
  state.VotedFor = ReplicaId{base::VmId(vm), in.readNumber()};
  return true;
}

bool applyEntry(Reader &in, DurableState &state) {
  Entry entry;
  entry.Index = in.readNumber();
  entry.Term = in.readNumber();
  entry.Kind = static_cast<EntryKind>(in.readByte());
  entry.Command = in.readText();
  if (entry.Kind > EntryKind::NoOp)
    return false;
  const LogIndex last =
      state.Entries.empty() ? entry.Index - 1 : state.Entries.back().Index;
  if (entry.Index != last + 1)
    return false;
  state.Entries.push_back(std::move(entry));
  return true;
}

} // namespace

void encodeRecords(const PersistRequest &request, std::string &out) {
  Writer to(out);
  to.put(RecordType::Vote);
  to.put(request.Term);
  to.put(std::uint64_t(request.VotedFor ? 1 : 0));
  if (request.VotedFor) {
    to.put(std::string_view(request.VotedFor->Vm.Value));
    to.put(request.VotedFor->Incarnation);
  }
  if (request.TruncateAfter) {
    to.put(RecordType::Truncate);
    to.put(*request.TruncateAfter);
  }
  for (const Entry &entry : request.Append) {
    to.put(RecordType::Entry);
    to.put(entry.Index);
    to.put(entry.Term);
    out.push_back(static_cast<char>(entry.Kind));
    to.put(std::string_view(entry.Command));
  }
}

bool applyRecords(std::string_view frame, DurableState &state) {
  Reader in(frame);
  while (!in.isEnd()) {
    bool known = true;
    switch (static_cast<RecordType>(in.readByte())) {
    case RecordType::Vote:
      known = applyVote(in, state);
      break;
    case RecordType::Truncate:
      truncate(state, in.readNumber());
      break;
    case RecordType::Entry:
      known = applyEntry(in, state);
      break;
    default:
      known = false;
    }
    if (!known || in.hasFailed())
      return false;
  }
  return true;
}

std::string encodeSnapshotHeader(const PersistRequest::Snapshot &snapshot) {
  std::string out;
  Writer to(out);
  to.put(snapshot.Index);
  to.put(snapshot.Term);
  to.put(std::string_view(encodeMembership(snapshot.Members)));
  return out;
}

bool decodeSnapshotHeader(std::string_view text, DurableState &state) {
  Reader in(text);
  state.SnapshotIndex = in.readNumber();
  state.SnapshotTerm = in.readNumber();
  auto members = decodeMembership(in.readText());
  if (in.hasFailed() || !in.isEnd() || !members)
    return false;
  state.Members = std::move(members).value();
  return true;
}

} // namespace magnoliamill::consensus::internal
