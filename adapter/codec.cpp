#include "adapter/codec.hpp"

#include <algorithm>
#include <bit>
#include <limits>

namespace tulipyoke::wire {
namespace {

enum EventCode : std::uint16_t {
  kMemo = 1000,
  kWorkItem = 1010,
  kInit = 1020,
  kFleet = 1030,
  kDefineList = 1040,
  kProbed = 1050,
  kAckFirst = 1060,
  kAlarm = 1070,
  kDown = 1080,
  kAborted = 1090,
  kResolved = 1100,
};

enum ActionCode : std::uint16_t {
  kDeliver = 1000,
  kReject = 1010,
  kDropRequest = 1020,
  kAbandon = 1030,
  kWakeMe = 1040,
  kSample = 1050,
  kDisconnect = 1060,
  kNotify = 1070,
  kRecord = 1080,
  kBroken = 1090,
  kTail = 1100,
  kListAll = 1110,
};

constexpr std::uint32_t kEveryPeer = 0xffffffff;
constexpr std::size_t kReportSlots = 4;
constexpr std::uint16_t kRepeatBit = 2;

// Reads big-endian values at byte positions of one record.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  template <typename T>
  T Unsigned(std::size_t at) const {
    if (at > bytes_.size() || sizeof(T) > bytes_.size() - at)
      throw FormatError("a field lies outside its record");
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
      value = value << 8 | static_cast<unsigned char>(bytes_[at + i]);
    return static_cast<T>(value);
  }
  std::uint8_t U8(std::size_t at) const { return Unsigned<std::uint8_t>(at); }
  std::uint16_t U16(std::size_t at) const { return Unsigned<std::uint16_t>(at); }
  std::uint32_t U32(std::size_t at) const { return Unsigned<std::uint32_t>(at); }
  std::uint64_t U64(std::size_t at) const { return Unsigned<std::uint64_t>(at); }
  float F32(std::size_t at) const { return std::bit_cast<float>(U32(at)); }

 private:
  std::string_view bytes_;
};

template <typename T>
void Append(std::string& out, T value) {
  for (std::size_t i = sizeof(T); i-- > 0;) out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
}

Status StatusOf(std::uint16_t code) {
  switch (code) {
    case 200:
      return Status::kOk;
    case 204:
      return Status::kStaleOrWrongRole;
    case 502:
      return Status::kError;
    case 429:
      return Status::kOverloaded;
    case 408:
      return Status::kTimeout;
    case 521:
      return Status::kConnectFailed;
    case 520:
      return Status::kReset;
    case 444:
      return Status::kCancelled;
    case 409:
      return Status::kNotSent;
    default:
      throw FormatError("no outcome has the number " + std::to_string(code));
  }
}

Report ReportAt(const Reader& record, std::size_t at) {
  const std::size_t count = record.U8(at);
  if (count > kReportSlots)
    throw FormatError("a load report says it has " + std::to_string(count) + " values");
  Report report;
  for (std::size_t i = 0; i < count; ++i) report.push_back(record.F32(at + 1 + 4 * i));
  return report;
}

// The part of the tail that a field names; `unit` is the size of what its length counts.
std::string_view TailPart(std::string_view tail, const Reader& record, std::size_t at, std::size_t unit) {
  const std::uint64_t offset = record.U32(at);
  const std::uint64_t size = std::uint64_t{record.U32(at + 4)} * unit;
  if (offset > tail.size() || size > tail.size() - offset) {
    throw FormatError("a field points outside the tail (offset " + std::to_string(offset) + ", size " +
                      std::to_string(size) + ", tail " + std::to_string(tail.size()) + ")");
  }
  return tail.substr(offset, size);
}

EndpointEntry EntryOf(std::string_view bytes) {
  const Reader entry(bytes);
  EndpointEntry result;
  result.capacity_hint = entry.F32(0);
  result.zone = entry.U16(4);
  switch (entry.U8(6)) {
    case 0:
      result.state = ServerState::kGone;
      break;
    case 1:
      result.state = ServerState::kReady;
      break;
    case 2:
      result.state = ServerState::kDraining;
      break;
    default:
      throw FormatError("a list entry has the state " + std::to_string(entry.U8(6)));
  }
  result.server = entry.U32(7);
  result.group = entry.U16(11);
  result.boot_time = static_cast<Micros>(entry.U64(13));
  result.listed_primary = entry.F32(21) == 1.0F;
  result.kind = entry.U8(25);
  return result;
}

EndpointListKind ListKindOf(std::uint8_t code) {
  switch (code) {
    case 0:
      return EndpointListKind::kDelta;
    case 1:
      return EndpointListKind::kFull;
    case 2:
      return EndpointListKind::kCached;
    case 3:
      return EndpointListKind::kFailed;
    default:
      throw FormatError("no list news is of kind " + std::to_string(code));
  }
}

AttemptEnded AttemptEndedOf(const Reader& record) {
  AttemptEnded event;
  event.id = record.U64(4);
  const std::uint32_t stand = record.U32(12);
  switch (stand % 4) {
    case 0:
      break;
    case 1:
      event.role = Role::kPrimary;
      break;
    case 2:
      event.role = Role::kReplica;
      break;
    default:
      throw FormatError("an answer's role is 3");
  }
  if (stand / 4 != 0) event.position_ms = stand / 4;
  event.server = record.U32(16);
  event.request_ended = record.U8(20) != 0;
  event.elapsed = record.U32(21);
  event.attempt = record.U8(25);
  event.status = StatusOf(record.U16(26));
  event.report = ReportAt(record, 28);
  return event;
}

RequestArrived RequestArrivedOf(const Reader& record) {
  RequestArrived event;
  event.id = record.U64(4);
  event.class_index = record.U16(12);
  event.tenant = static_cast<int>(record.U32(14));
  event.key = record.U64(18);
  event.remaining = record.U32(26);
  const float group = record.F32(34);
  if (!(group >= 0 && group <= std::numeric_limits<std::uint16_t>::max())) {
    throw FormatError("a request names no possible group");
  }
  event.group = static_cast<int>(group);
  event.ms_since_write = record.F32(38);
  event.is_retry = (record.U16(42) & kRepeatBit) != 0;
  return event;
}

// One action record and what it adds to the tail.
class ActionWriter {
 public:
  void Write(const Reply& reply) {
    start_ = records_.size();
    if (const auto* broken = std::get_if<InstanceBroken>(&reply.action)) {
      Begin(kBroken, reply.instance);
      Text(broken->reason);
    } else {
      std::visit([&](const auto& action) { Put(reply.instance, action); }, std::get<Action>(reply.action));
    }
    records_.resize(start_ + kActionSize, '\0');
  }
  std::string records_;
  std::string tail_;

 private:
  static std::uint32_t Clamp32(Micros value) {
    return static_cast<std::uint32_t>(
        std::clamp<Micros>(value, 0, std::numeric_limits<std::uint32_t>::max()));
  }
  void Begin(ActionCode code, std::uint16_t instance) {
    Append<std::uint16_t>(records_, code);
    Append(records_, instance);
  }
  void Text(std::string_view text) {
    Append(records_, static_cast<std::uint32_t>(tail_.size()));
    Append(records_, static_cast<std::uint32_t>(text.size()));
    tail_ += text;
  }
  void Put(std::uint16_t instance, const Send& action) {
    Begin(kDeliver, instance);
    Append(records_, action.id);
    Append(records_, action.server);
    Append(records_, Clamp32(action.timeout));
  }
  void Put(std::uint16_t instance, const Reject& action) {
    Begin(kReject, instance);
    Append(records_, action.id);
    Append(records_, Clamp32(action.retry_after));
  }
  void Put(std::uint16_t instance, const Fail& action) {
    Begin(kDropRequest, instance);
    Append(records_, action.id);
  }
  void Put(std::uint16_t instance, const Cancel& action) {
    Begin(kAbandon, instance);
    Append(records_, action.id);
    Append(records_, static_cast<std::uint8_t>(action.attempt));
  }
  void Put(std::uint16_t instance, const SetTimer& action) {
    Begin(kWakeMe, instance);
    Append(records_, Clamp32(action.delay));
    Append(records_, action.token);
  }
  void Put(std::uint16_t instance, const CheckHealth& action) {
    Begin(kSample, instance);
    Append(records_, action.server);
  }
  void Put(std::uint16_t instance, const CloseIdle& action) {
    Begin(kDisconnect, instance);
    Append(records_, action.server);
  }
  void Put(std::uint16_t instance, const Gossip& action) {
    Begin(kNotify, instance);
    Append(records_, action.peer ? static_cast<std::uint32_t>(*action.peer) : kEveryPeer);
    Text(action.bytes);
  }
  void Put(std::uint16_t instance, const Log& action) {
    Begin(kRecord, instance);
    Text(action.text);
  }
  void Put(std::uint16_t instance, const WatchEndpointList& action) {
    Begin(kTail, instance);
    Append<std::uint8_t>(records_, action.on ? 1 : 0);
  }
  void Put(std::uint16_t instance, const FetchEndpointList&) { Begin(kListAll, instance); }

  std::size_t start_ = 0;
};

}  // namespace

BatchHeader ParseBatchHeader(std::string_view bytes) {
  const Reader reader(bytes);
  BatchHeader header{reader.U32(0), reader.U64(4), reader.U32(12), reader.U32(16)};
  if (header.body_size > kLargestBody) {
    throw FormatError("a batch of " + std::to_string(header.body_size) + " bytes is too large");
  }
  if (std::uint64_t{header.records} * kEventSize > header.body_size) {
    throw FormatError("a batch of " + std::to_string(header.body_size) + " bytes cannot hold " +
                      std::to_string(header.records) + " records");
  }
  if (header.now > static_cast<std::uint64_t>(std::numeric_limits<Micros>::max())) {
    throw FormatError("the clock is out of range");
  }
  return header;
}

Record ParseRecord(const BatchHeader& header, std::string_view body, std::uint32_t index) {
  const std::string_view tail = body.substr(std::size_t{header.records} * kEventSize);
  const Reader record(body.substr(std::size_t{index} * kEventSize, kEventSize));
  const std::uint16_t instance = record.U16(2);
  switch (const std::uint16_t code = record.U16(0)) {
    case kMemo:
      return {instance, Event(PeerMessage{record.U16(4), std::string(TailPart(tail, record, 6, 1))})};
    case kWorkItem:
      return {instance, Event(RequestArrivedOf(record))};
    case kInit:
      return {instance, InstanceStarted{record.U64(4), TailPart(tail, record, 12, 1)}};
    case kFleet:
      return {instance, ListAnnounced{ListKindOf(record.U8(4)), record.U64(5), record.U32(13)}};
    case kDefineList: {
      ListDefined list{record.U32(2), {}};
      if (list.bank >= kListBanks) throw FormatError("no list has the number " + std::to_string(list.bank));
      const std::string_view entries = TailPart(tail, record, 6, kEntrySize);
      for (std::size_t at = 0; at < entries.size(); at += kEntrySize) {
        list.entries.push_back(EntryOf(entries.substr(at, kEntrySize)));
      }
      return {0, std::move(list)};
    }
    case kProbed:
      return {instance, Event(HealthCheckEnded{record.U32(4), StatusOf(record.U16(8)), record.U32(10),
                                               ReportAt(record, 14)})};
    case kAckFirst:
      return {instance, Event(ResponseStarted{record.U64(4), record.U8(16), record.U32(12)})};
    case kAlarm:
      return {instance, Event(TimerFired{record.U64(4)})};
    case kDown:
      return {instance, InstanceStopped{}};
    case kAborted:
      return {instance, Event(RequestCancelled{record.U64(4)})};
    case kResolved:
      return {instance, Event(AttemptEndedOf(record))};
    default:
      throw FormatError("no event has the code " + std::to_string(code));
  }
}

std::string EncodeReply(std::uint32_t number, const std::vector<Reply>& replies) {
  ActionWriter writer;
  for (const Reply& reply : replies) writer.Write(reply);
  std::string out;
  Append(out, number);
  Append(out, static_cast<std::uint32_t>(writer.records_.size() + writer.tail_.size()));
  Append(out, static_cast<std::uint32_t>(replies.size()));
  return out + writer.records_ + writer.tail_;
}

}  // namespace tulipyoke::wire
