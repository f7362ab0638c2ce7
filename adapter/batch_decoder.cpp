#include "adapter/batch_decoder.hpp"

#include <cstddef>
#include <limits>
#include <optional>
#include <string>
#include <utility>

#include "adapter/big_endian.hpp"

namespace tulipyoke::wire {
namespace {

std::optional<Status> StatusFromCode(std::uint16_t code) {
  switch (code) {
    case 200:
      return Status::kOk;
    case 204:
      return Status::kStaleOrWrongRole;
    case 408:
      return Status::kTimeout;
    case 409:
      return Status::kNotSent;
    case 429:
      return Status::kOverloaded;
    case 444:
      return Status::kCancelled;
    case 502:
      return Status::kError;
    case 520:
      return Status::kReset;
    case 521:
      return Status::kConnectFailed;
    default:
      return std::nullopt;
  }
}

std::optional<ServerState> ServerStateFromCode(std::uint8_t code) {
  switch (code) {
    case 0:
      return ServerState::kGone;
    case 1:
      return ServerState::kReady;
    case 2:
      return ServerState::kDraining;
    default:
      return std::nullopt;
  }
}

std::optional<EndpointListKind> ListKindFromCode(std::uint8_t code) {
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
      return std::nullopt;
  }
}

std::optional<Role> RoleFromCode(std::uint32_t code) {
  switch (code) {
    case 0:
      return Role::kUnknown;
    case 1:
      return Role::kPrimary;
    case 2:
      return Role::kReplica;
    default:
      return std::nullopt;
  }
}

// Decodes one record. After an error, decoding continues with default values, and Decode returns the first
// error.
class RecordDecoder {
 public:
  // `record` has kEventRecordSize bytes; `tail` is the part of the body after the records.
  RecordDecoder(std::string_view record, std::string_view tail) : record_(record), tail_(tail) {}

  Decoded<Record> Decode() {
    Record result;
    result.instance = record_.U16(2);
    result.payload = DecodePayload();
    if (error_) return *error_;
    if (std::holds_alternative<ListDefined>(result.payload)) result.instance = 0;
    return result;
  }

 private:
  Payload DecodePayload() {
    const std::uint16_t code = record_.U16(0);
    switch (EventCode{code}) {
      case EventCode::kPeerMessage:
        return Event(DecodePeerMessage());
      case EventCode::kRequestArrived:
        return Event(DecodeRequestArrived());
      case EventCode::kInstanceStarted:
        return InstanceStarted{record_.U64(4), TailBytes(12, 1)};
      case EventCode::kListAnnounced:
        return DecodeListAnnounced();
      case EventCode::kListDefined:
        return DecodeListDefined();
      case EventCode::kHealthCheckEnded:
        return Event(DecodeHealthCheckEnded());
      case EventCode::kResponseStarted:
        return Event(DecodeResponseStarted());
      case EventCode::kTimerFired:
        return Event(TimerFired{record_.U64(4)});
      case EventCode::kInstanceStopped:
        return InstanceStopped{};
      case EventCode::kRequestCancelled:
        return Event(RequestCancelled{record_.U64(4)});
      case EventCode::kAttemptEnded:
        return Event(DecodeAttemptEnded());
    }
    Fail(FormatErrorCode::kUnknownEventCode, code);
    return InstanceStopped{};
  }

  PeerMessage DecodePeerMessage() {
    PeerMessage event;
    event.from = record_.U16(4);
    event.bytes = std::string(TailBytes(6, 1));
    return event;
  }

  RequestArrived DecodeRequestArrived() {
    RequestArrived event;
    event.id = record_.U64(4);
    event.class_index = record_.U16(12);
    event.tenant = static_cast<int>(record_.U32(14));
    event.key = record_.U64(18);
    event.remaining = record_.U32(26);
    event.group = DecodeGroup(34);
    event.ms_since_write = record_.F32(38);
    event.is_retry = (record_.U16(42) & kRetryFlag) != 0;
    return event;
  }

  AttemptEnded DecodeAttemptEnded() {
    AttemptEnded event;
    event.id = record_.U64(4);
    // The two lowest bits are the role, the others the position; 0 means that there is no position.
    const std::uint32_t role_and_position = record_.U32(12);
    event.role = ValueOrFail(RoleFromCode(role_and_position % 4), FormatErrorCode::kUnknownRole,
                             role_and_position % 4);
    if (role_and_position / 4 != 0) event.position_ms = role_and_position / 4;
    event.server = record_.U32(16);
    event.request_ended = record_.U8(20) != 0;
    event.elapsed = record_.U32(21);
    event.attempt = record_.U8(25);
    event.status = DecodeStatus(26);
    event.report = DecodeReport(28);
    return event;
  }

  ResponseStarted DecodeResponseStarted() const {
    ResponseStarted event;
    event.id = record_.U64(4);
    event.server = record_.U32(12);
    event.attempt = record_.U8(16);
    return event;
  }

  HealthCheckEnded DecodeHealthCheckEnded() {
    HealthCheckEnded event;
    event.server = record_.U32(4);
    event.status = DecodeStatus(8);
    event.elapsed = record_.U32(10);
    event.report = DecodeReport(14);
    return event;
  }

  ListAnnounced DecodeListAnnounced() {
    ListAnnounced event;
    event.kind =
        ValueOrFail(ListKindFromCode(record_.U8(4)), FormatErrorCode::kUnknownListKind, record_.U8(4));
    event.version = record_.U64(5);
    event.slot = record_.U32(13);
    return event;
  }

  ListDefined DecodeListDefined() {
    ListDefined event;
    event.slot = record_.U32(2);
    if (event.slot >= kListSlotCount) Fail(FormatErrorCode::kUnknownListSlot, event.slot);
    const std::string_view entries = TailBytes(6, kEndpointEntrySize);
    for (std::size_t offset = 0; offset < entries.size(); offset += kEndpointEntrySize) {
      event.entries.push_back(DecodeEndpointEntry(entries.substr(offset, kEndpointEntrySize)));
    }
    return event;
  }

  EndpointEntry DecodeEndpointEntry(std::string_view bytes) {
    const BigEndianReader entry(bytes);
    EndpointEntry result;
    result.capacity_hint = entry.F32(0);
    result.zone = entry.U16(4);
    result.state =
        ValueOrFail(ServerStateFromCode(entry.U8(6)), FormatErrorCode::kUnknownServerState, entry.U8(6));
    result.server = entry.U32(7);
    result.group = entry.U16(11);
    result.boot_time = static_cast<Micros>(entry.U64(13));
    result.listed_primary = entry.F32(21) == 1.0F;
    result.kind = entry.U8(25);
    return result;
  }

  Status DecodeStatus(std::size_t offset) {
    const std::uint16_t code = record_.U16(offset);
    return ValueOrFail(StatusFromCode(code), FormatErrorCode::kUnknownStatus, code);
  }

  // A load report is a count in one byte, followed by that many floats.
  Report DecodeReport(std::size_t offset) {
    const std::size_t count = record_.U8(offset);
    Report report;
    if (count > kMaxReportValues) {
      Fail(FormatErrorCode::kReportTooLong, count);
      return report;
    }
    for (std::size_t i = 0; i < count; ++i) report.push_back(record_.F32(offset + 1 + sizeof(float) * i));
    return report;
  }

  // The group is encoded as a float.
  int DecodeGroup(std::size_t offset) {
    const float group = record_.F32(offset);
    if (group >= 0 && group <= std::numeric_limits<std::uint16_t>::max()) return static_cast<int>(group);
    Fail(FormatErrorCode::kInvalidGroup, 0);
    return 0;
  }

  // Returns the part of the tail that a field refers to with an offset in bytes and a count of units.
  std::string_view TailBytes(std::size_t offset_of_field, std::size_t unit_size) {
    const std::uint64_t offset = record_.U32(offset_of_field);
    const std::uint64_t size = std::uint64_t{record_.U32(offset_of_field + 4)} * unit_size;
    if (offset <= tail_.size() && size <= tail_.size() - offset) return tail_.substr(offset, size);
    Fail(FormatErrorCode::kFieldOutsideTail, offset);
    return {};
  }

  // Returns the value, or sets the error and returns a default value if there is none.
  template <typename Value>
  Value ValueOrFail(std::optional<Value> value, FormatErrorCode code, std::uint64_t detail) {
    if (!value) Fail(code, detail);
    return value.value_or(Value{});
  }

  // Sets the error unless there already is one.
  void Fail(FormatErrorCode code, std::uint64_t detail) {
    if (!error_) error_ = FormatError{code, detail, {}};
  }

  BigEndianReader record_;
  std::string_view tail_;
  std::optional<FormatError> error_;
};

}  // namespace

Decoded<BatchHeader> DecodeBatchHeader(std::string_view bytes) {
  if (bytes.size() < kBatchHeaderSize)
    return FormatError{FormatErrorCode::kHeaderTruncated, bytes.size(), {}};
  const BigEndianReader reader(bytes);
  const BatchHeader header{reader.U32(0), reader.U64(4), reader.U32(12), reader.U32(16)};
  if (header.body_size > kMaxBodySize) {
    return FormatError{FormatErrorCode::kBatchTooLarge, header.body_size, {}};
  }
  if (std::uint64_t{header.record_count} * kEventRecordSize > header.body_size) {
    return FormatError{FormatErrorCode::kBatchTooSmall, header.record_count, {}};
  }
  if (header.now > static_cast<std::uint64_t>(std::numeric_limits<Micros>::max())) {
    return FormatError{FormatErrorCode::kClockOutOfRange, header.now, {}};
  }
  return header;
}

Decoded<Record> DecodeRecord(const BatchHeader& header, std::string_view body, std::uint32_t index) {
  const std::size_t tail_offset = std::size_t{header.record_count} * kEventRecordSize;
  if (index >= header.record_count || body.size() < tail_offset) {
    return FormatError{FormatErrorCode::kRecordOutsideBody, index, {}};
  }
  const std::string_view record = body.substr(std::size_t{index} * kEventRecordSize, kEventRecordSize);
  return RecordDecoder(record, body.substr(tail_offset)).Decode();
}

}  // namespace tulipyoke::wire
