#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "adapter/batch_decoder.hpp"
#include "adapter/format_error.hpp"
#include "adapter/reply_encoder.hpp"
#include "adapter/router_instances.hpp"
#include "adapter/settings_parser.hpp"
#include "adapter/wire_format.hpp"
#include "tests/adapter/hex.hpp"

namespace tulipyoke::wire {
namespace {

std::string EventRecord(std::string_view hex) { return PadRecord(FromHex(hex), kEventRecordSize); }

// Decodes a batch with a single record. Views in the result point into a buffer that the next call
// overwrites.
Decoded<Record> TryDecodeRecord(std::string_view hex, const std::string& tail = "") {
  static std::string body;
  body = EventRecord(hex) + tail;
  return DecodeRecord({1, 0, static_cast<std::uint32_t>(body.size()), 1}, body, 0);
}

Record DecodeOneRecord(std::string_view hex, const std::string& tail = "") {
  return std::get<Record>(TryDecodeRecord(hex, tail));
}

template <typename Value>
std::optional<FormatErrorCode> ErrorOf(const Decoded<Value>& decoded) {
  const auto* error = std::get_if<FormatError>(&decoded);
  return error ? std::optional(error->code) : std::nullopt;
}

std::optional<FormatErrorCode> ErrorOfRecord(std::string_view hex, const std::string& tail = "") {
  return ErrorOf(TryDecodeRecord(hex, tail));
}

std::optional<FormatErrorCode> ErrorOfHeader(std::string_view bytes) {
  return ErrorOf(DecodeBatchHeader(bytes));
}

std::optional<FormatErrorCode> ErrorOfSettings(std::string_view text) { return ErrorOf(ParseSettings(text)); }

template <typename T>
T EventOf(const Record& record) {
  return std::get<T>(std::get<Event>(record.payload));
}
std::string ReplyToBatch(const std::vector<std::string>& records, const std::string& tail = "") {
  std::string body;
  for (const std::string& r : records) body += r;
  body += tail;
  const BatchHeader header{1, 0, static_cast<std::uint32_t>(body.size()),
                           static_cast<std::uint32_t>(records.size())};
  return std::get<std::string>(RouterInstances().HandleBatch(header, body));
}

TEST(Codec, BatchHeaderIsBigEndian) {
  const auto h =
      std::get<BatchHeader>(DecodeBatchHeader(FromHex("0000000c 0000000000805c5a 00000090 00000003")));
  EXPECT_EQ(h.number, 12u);
  EXPECT_EQ(h.now, 0x805c5au);
  EXPECT_EQ(h.body_size, 0x90u);
  EXPECT_EQ(h.record_count, 3u);
}

TEST(Codec, RequestFields) {
  const Record r = DecodeOneRecord(
      "03f2 0003 0001af0f5d3a91c4 0002 00000001 91f03b7c55d20a64 0003a980 00002ee0 41300000 43ce4000 0003");
  EXPECT_EQ(r.instance, 3);
  const auto e = EventOf<RequestArrived>(r);
  EXPECT_EQ(e.id, 0x1af0f5d3a91c4u);
  EXPECT_EQ(e.class_index, 2);
  EXPECT_EQ(e.tenant, 1);
  EXPECT_EQ(e.key, 0x91f03b7c55d20a64u);
  EXPECT_EQ(e.remaining, 0x3a980);
  EXPECT_EQ(e.group, 11);
  EXPECT_DOUBLE_EQ(e.ms_since_write, 412.5);
  EXPECT_TRUE(e.is_retry);
}

TEST(Codec, AttemptEndedFields) {
  const Record r = DecodeOneRecord(
      "044c 0003 0001af0f5d3a91c4 0000638e 03124a07 01 00004844 02 00c8 02 40c6872b 3f800000 00000000 "
      "00000000");
  const auto e = EventOf<AttemptEnded>(r);
  EXPECT_EQ(e.role, Role::kReplica);
  EXPECT_EQ(e.position_ms, 0x638e / 4);
  EXPECT_EQ(e.server, 0x03124a07u);
  EXPECT_TRUE(e.request_ended);
  EXPECT_EQ(e.elapsed, 0x4844);
  EXPECT_EQ(e.attempt, 2);
  EXPECT_EQ(e.status, Status::kOk);
  ASSERT_EQ(e.report.size(), 2u);
  EXPECT_FLOAT_EQ(e.report[0], 6.2039995F);
}

TEST(Codec, PositionZeroIsAbsent) {
  const auto e = EventOf<AttemptEnded>(
      DecodeOneRecord("044c 0003 0001af0f5d3a91c4 00000001 03124a07 00 00004844 00 00cc 00"));
  EXPECT_FALSE(e.position_ms.has_value());
  EXPECT_EQ(e.role, Role::kPrimary);
  EXPECT_EQ(e.status, Status::kStaleOrWrongRole);
}

TEST(Codec, EveryStatusCode) {
  const std::vector<std::pair<std::string, Status>> status_codes = {
      {"00c8", Status::kOk},        {"01f6", Status::kError},         {"01ad", Status::kOverloaded},
      {"0198", Status::kTimeout},   {"0209", Status::kConnectFailed}, {"0208", Status::kReset},
      {"01bc", Status::kCancelled}, {"0199", Status::kNotSent},       {"00cc", Status::kStaleOrWrongRole}};
  for (const auto& [code, status] : status_codes) {
    EXPECT_EQ(
        EventOf<HealthCheckEnded>(DecodeOneRecord("041a 0003 2c9011f2 " + code + " 00000578 00")).status,
        status);
  }
  EXPECT_EQ(ErrorOfRecord("041a 0003 2c9011f2 00c9 00000578 00"), FormatErrorCode::kUnknownStatus);
}

TEST(Codec, EventsWithFewFields) {
  EXPECT_EQ(EventOf<TimerFired>(DecodeOneRecord("042e 0003 000000000000004d")).token, 0x4du);
  EXPECT_EQ(EventOf<RequestCancelled>(DecodeOneRecord("0442 0005 000ebd970e6f2b19")).id, 0xebd970e6f2b19u);
  EXPECT_EQ(
      EventOf<ResponseStarted>(DecodeOneRecord("0424 0003 0001af0f5d3a91c4 03124a07 05 00002422")).attempt,
      5);
  EXPECT_TRUE(std::holds_alternative<InstanceStopped>(DecodeOneRecord("0438 0003").payload));
  const auto peer_message = EventOf<PeerMessage>(DecodeOneRecord("03e8 0003 0002 00000000 00000004", "hi 7"));
  EXPECT_EQ(peer_message.from, 2);
  EXPECT_EQ(peer_message.bytes, "hi 7");
}

TEST(Codec, EndpointListEntries) {
  const std::string tail = FromHex(
      "3f800000 0000 01 03124a07 000b 0000000000000000 3f800000 00"
      "3fc00000 0001 02 2c9011f2 000c 00000000005d1420 00000000 03");
  const Record r = DecodeOneRecord("0410 00000004 00000000 00000002", tail);
  const auto& list = std::get<ListDefined>(r.payload);
  EXPECT_EQ(list.slot, 4u);
  ASSERT_EQ(list.entries.size(), 2u);
  EXPECT_TRUE(list.entries[0].listed_primary);
  EXPECT_EQ(list.entries[0].state, ServerState::kReady);
  EXPECT_EQ(list.entries[1].server, 0x2c9011f2u);
  EXPECT_EQ(list.entries[1].state, ServerState::kDraining);
  EXPECT_EQ(list.entries[1].group, 12);
  EXPECT_EQ(list.entries[1].zone, 1);
  EXPECT_EQ(list.entries[1].boot_time, 0x5d1420);
  EXPECT_EQ(list.entries[1].kind, 3);
  EXPECT_DOUBLE_EQ(list.entries[1].capacity_hint, 1.5);
}

TEST(Codec, MalformedBytesGiveTheirErrorCode) {
  EXPECT_EQ(ErrorOfHeader("short"), FormatErrorCode::kHeaderTruncated);
  EXPECT_EQ(ErrorOfHeader(FromHex("0000000c 0000000000805c5a 0000002f 00000001")),
            FormatErrorCode::kBatchTooSmall);
  EXPECT_EQ(ErrorOfHeader(FromHex("0000000c 0000000000805c5a ffffffff 00000001")),
            FormatErrorCode::kBatchTooLarge);
  EXPECT_EQ(ErrorOfHeader(FromHex("0000000c ffffffffffffffff 00000000 00000000")),
            FormatErrorCode::kClockOutOfRange);
  EXPECT_EQ(ErrorOfRecord("ffff 0003"), FormatErrorCode::kUnknownEventCode);
  EXPECT_EQ(ErrorOfRecord("0410 00000010 00000000 00000000"), FormatErrorCode::kUnknownListSlot);
  EXPECT_EQ(ErrorOfRecord("0410 00000000 00000001 00000001", std::string(26, 'x')),
            FormatErrorCode::kFieldOutsideTail);
  EXPECT_EQ(ErrorOfRecord("0410 00000000 ffffffff ffffffff"), FormatErrorCode::kFieldOutsideTail);
  EXPECT_EQ(ErrorOfRecord("041a 0003 2c9011f2 00c8 00000578 05"), FormatErrorCode::kReportTooLong);
  EXPECT_EQ(ErrorOfRecord("0406 0003 04 0000000000000029 00000000"), FormatErrorCode::kUnknownListKind);
  EXPECT_EQ(ErrorOfRecord("044c 0003 0001af0f5d3a91c4 00000003 03124a07 00 00000000 00 00c8"),
            FormatErrorCode::kUnknownRole);
  EXPECT_EQ(
      ErrorOfRecord("03f2 0003 0001af0f5d3a91c4 0000 00000000 0000000000000000 0003a980 00002ee0 7fc00000"),
      FormatErrorCode::kInvalidGroup);
}

TEST(Codec, ActionBytes) {
  const std::string reply = EncodeReply(12, {{3, Action(Send{0x1af0f5d3a91c4, 0x03124a07, 0x13880})},
                                             {3, Action(SetTimer{500000, 0x4d})},
                                             {5, Action(Log{"two servers known"})}});
  EXPECT_EQ(reply, FromHex("0000000c 00000059 00000003"
                           "03e8 0003 0001af0f5d3a91c4 03124a07 00013880 00000000"
                           "0410 0003 0007a120 000000000000004d 0000000000000000"
                           "0438 0005 00000000 00000011 000000000000000000000000") +
                       "two servers known");
  const auto encode_one = [](Action action) {
    return EncodeReply(1, {{3, std::move(action)}}).substr(kReplyHeaderSize);
  };
  EXPECT_EQ(encode_one(Reject{0xebd970e6f2b19, 250000}),
            FromHex("03f2 0003 000ebd970e6f2b19 0003d090 0000000000000000"));
  EXPECT_EQ(encode_one(Fail{0xebd970e6f2b19}),
            FromHex("03fc 0003 000ebd970e6f2b19 000000000000000000000000"));
  EXPECT_EQ(encode_one(Cancel{1, 2}), FromHex("0406 0003 0000000000000001 02 0000000000000000000000"));
  EXPECT_EQ(encode_one(CheckHealth{7}), FromHex("041a 0003 00000007 00000000000000000000000000000000"));
  EXPECT_EQ(encode_one(CloseIdle{7}), FromHex("0424 0003 00000007 00000000000000000000000000000000"));
  EXPECT_EQ(encode_one(WatchEndpointList{true}),
            FromHex("044c 0003 01 00000000000000000000000000000000000000"));
  EXPECT_EQ(encode_one(FetchEndpointList{}), FromHex("0456 0003 0000000000000000000000000000000000000000"));
  EXPECT_EQ(encode_one(Gossip{{}, "hi 7"}),
            FromHex("042e 0003 ffffffff 00000000 00000004 0000000000000000") + "hi 7");
  EXPECT_EQ(EncodeReply(1, {{3, InstanceFailed{"x"}}}).substr(kReplyHeaderSize),
            FromHex("0442 0003 00000000 00000001 000000000000000000000000") + "x");
  // Durations are clamped: a negative one to zero, one that is too large to the maximum.
  EXPECT_EQ(encode_one(SetTimer{Micros{1} << 40, 0}).substr(4, 4), FromHex("ffffffff"));
  EXPECT_EQ(encode_one(SetTimer{-5, 0}).substr(4, 4), FromHex("00000000"));
}

TEST(SettingsParser, ReadsKnownPathsAndIgnoresOthers) {
  const auto s = std::get<Settings>(ParseSettings(
      "services.count=2\nservices.0.aim=300000\nservices.0.semantics=guarded\nservices.0.group=cell\n"
      "services.0.window=2000000\nservices.1.deadline=5\ndomain.freshness=update,recent\n"
      "domain.lag_allowed=0,3000000\ndomain.guards=hold\ndomain.token_mode=client\ndomain.role_listed="
      "delayed\n"
      "discovery=ask\nstats.via=inline\nstats.fields=x0,x1\nrules.tip_multiple=2.5\nnew.key=7\nquantum=5000\n"
      "realms.count=1\nrealms.0.quota_per_s=109.0\npolicy_limits.second_copies=true\n"));
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[0].idempotency, Idempotency::kWithKey);
  EXPECT_EQ(s.classes[0].retry_scope, RetryScope::kCell);
  EXPECT_EQ(s.classes[0].retry_window, 2000000);
  EXPECT_EQ(s.classes[0].freshness, Freshness::kWrite);
  EXPECT_EQ(s.classes[1].freshness, Freshness::kBounded);
  EXPECT_EQ(s.classes[1].staleness_bound, 3000000);
  EXPECT_EQ(s.staleness_guard, StalenessGuard::kWait);
  EXPECT_EQ(s.token_mode, TokenMode::kSentByClient);
  EXPECT_EQ(s.listed_role, ListedRole::kDelayed);
  EXPECT_EQ(s.load_report_source, LoadReportSource::kResponses);
  EXPECT_TRUE(s.poll_endpoint_list);
  EXPECT_TRUE(s.hedging_allowed);
  EXPECT_DOUBLE_EQ(s.overload_multiple, 2.5);
  EXPECT_DOUBLE_EQ(s.tenants.at(0).quota_per_s, 109);
  EXPECT_EQ(s.report_fields, (std::vector<std::string>{"x0", "x1"}));
}

TEST(SettingsParser, RejectsInvalidLines) {
  EXPECT_EQ(ErrorOfSettings("domain.guards=maybe\n"), FormatErrorCode::kSettingsInvalid);
  EXPECT_EQ(ErrorOfSettings("quantum=five\n"), FormatErrorCode::kSettingsInvalid);
  EXPECT_EQ(ErrorOfSettings("services.count=-1\n"), FormatErrorCode::kSettingsInvalid);
  EXPECT_EQ(ErrorOfSettings("services.count=1e9\n"), FormatErrorCode::kSettingsInvalid);
  EXPECT_EQ(ErrorOfSettings("no equals\n"), FormatErrorCode::kSettingsLineInvalid);
}

TEST(RouterInstances, EmptyBatch) { EXPECT_EQ(ReplyToBatch({}), FromHex("00000001 00000000 00000000")); }

TEST(RouterInstances, RestartInOneBatchDropsStateAndUsesTheNewestList) {
  const std::string settings_text =
      "services.count=1\nservices.0.aim=300000\nservices.0.deadline=750000\nquantum=1000\n";
  const std::string old_entry = FromHex("3f800000 0000 01 00000007 0000 0000000000000000 00000000 00");
  const std::string new_entry = FromHex("3f800000 0000 01 00000008 0000 0000000000000000 00000000 00");
  const std::string size = FromHex("000000") + static_cast<char>(settings_text.size());
  const auto instance_started = [&] {
    std::string r = FromHex("03fc 0003 0000000000000007 00000000") + size;
    r.resize(kEventRecordSize, '\0');
    return r;
  };
  const std::string old_entry_offset = FromHex("000000") + static_cast<char>(settings_text.size());
  const std::string new_entry_offset =
      FromHex("000000") + static_cast<char>(settings_text.size() + kEndpointEntrySize);
  const auto list_defined = [&](const std::string& offset) {
    std::string r = FromHex("0410 00000000") + offset + FromHex("00000001");
    r.resize(kEventRecordSize, '\0');
    return r;
  };
  const std::string list_announced = EventRecord("0406 0003 02 0000000000000001 00000000");
  const std::string request =
      EventRecord("03f2 0003 0000000000000005 0000 00000000 0000000000000000 000b71b0");
  const std::string reply = ReplyToBatch(
      {instance_started(), list_defined(old_entry_offset), list_announced, request, EventRecord("0438 0003"),
       instance_started(), list_defined(new_entry_offset), list_announced, request},
      settings_text + old_entry + new_entry);
  // The reply has no action of the stopped instance, and the request goes to the server in the new list.
  EXPECT_EQ(reply.find(FromHex("03e8 0003 0000000000000005 00000007")), std::string::npos);
  EXPECT_NE(reply.find(FromHex("03e8 0003 0000000000000005 00000008")), std::string::npos);
}

TEST(RouterInstances, EventsForAnInstanceThatIsNotRunningAreDropped) {
  EXPECT_EQ(ReplyToBatch({EventRecord("042e 0003 000000000000004d")}), FromHex("00000001 00000000 00000000"));
}

}  // namespace
}  // namespace tulipyoke::wire
