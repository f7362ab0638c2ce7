// Golden tests of the simulator's wire format: the bytes of every kind of action, the decoded fields of every
// kind of event, and the complete replies to recorded batches. None of these bytes may change.
#include <gtest/gtest.h>

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "adapter/batch_decoder.hpp"
#include "adapter/reply_encoder.hpp"
#include "adapter/router_instances.hpp"
#include "adapter/wire_format.hpp"
#include "tests/adapter/hex.hpp"

namespace tulipyoke::wire {
namespace {

std::string EventRecord(std::string_view hex) { return PadRecord(FromHex(hex), kEventRecordSize); }

// Returns the header and body of a batch, built from event records and the tail that they refer to.
std::string BatchBytes(std::uint32_t number, std::string_view clock_hex,
                       const std::vector<std::string>& records, const std::string& tail) {
  std::string body;
  for (const std::string& record : records) body += record;
  body += tail;
  const auto uint32_bytes = [](std::size_t value) {
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(value >> shift & 0xff));
    return bytes;
  };
  return uint32_bytes(number) + FromHex(clock_hex) + uint32_bytes(body.size()) +
         uint32_bytes(records.size()) + body;
}

BatchHeader HeaderOf(std::string_view batch) {
  return std::get<BatchHeader>(DecodeBatchHeader(batch.substr(0, kBatchHeaderSize)));
}

// Events as text with every field, so that one comparison covers the whole event.

std::string TextOf(const Report& report) {
  std::ostringstream text;
  text << "[";
  for (std::size_t i = 0; i < report.size(); ++i) text << (i == 0 ? "" : " ") << report[i];
  text << "]";
  return text.str();
}

class EventPrinter {
 public:
  std::string operator()(const InstanceStarted& event) {
    text_ << "instance_started seed=" << event.seed << " settings=" << event.settings_text;
    return text_.str();
  }
  std::string operator()(const InstanceStopped&) { return "instance_stopped"; }
  std::string operator()(const ListDefined& event) {
    text_ << "list_defined slot=" << event.slot;
    for (const EndpointEntry& entry : event.entries) {
      text_ << " {server=" << entry.server << " group=" << entry.group << " zone=" << entry.zone
            << " kind=" << entry.kind << " state=" << static_cast<int>(entry.state)
            << " capacity=" << entry.capacity_hint << " boot=" << entry.boot_time
            << " listed_primary=" << entry.listed_primary << "}";
    }
    return text_.str();
  }
  std::string operator()(const ListAnnounced& event) {
    text_ << "list_announced kind=" << static_cast<int>(event.kind) << " version=" << event.version
          << " slot=" << event.slot;
    return text_.str();
  }
  std::string operator()(const Event& event) { return std::visit(*this, event); }

  std::string operator()(const RequestArrived& event) {
    text_ << "request id=" << event.id << " class=" << event.class_index << " tenant=" << event.tenant
          << " group=" << event.group << " key=" << event.key << " remaining=" << event.remaining
          << " ms_since_write=" << event.ms_since_write << " retry=" << event.is_retry;
    return text_.str();
  }
  std::string operator()(const AttemptEnded& event) {
    text_ << "attempt_ended id=" << event.id << " attempt=" << event.attempt << " server=" << event.server
          << " status=" << static_cast<int>(event.status) << " elapsed=" << event.elapsed
          << " request_ended=" << event.request_ended << " role=" << static_cast<int>(event.role)
          << " position=" << event.position_ms.value_or(-1) << " report=" << TextOf(event.report);
    return text_.str();
  }
  std::string operator()(const ResponseStarted& event) {
    text_ << "response_started id=" << event.id << " attempt=" << event.attempt << " server=" << event.server;
    return text_.str();
  }
  std::string operator()(const HealthCheckEnded& event) {
    text_ << "health_check_ended server=" << event.server << " status=" << static_cast<int>(event.status)
          << " elapsed=" << event.elapsed << " report=" << TextOf(event.report);
    return text_.str();
  }
  std::string operator()(const TimerFired& event) {
    text_ << "timer token=" << event.token;
    return text_.str();
  }
  std::string operator()(const RequestCancelled& event) {
    text_ << "request_cancelled id=" << event.id;
    return text_.str();
  }
  std::string operator()(const PeerMessage& event) {
    text_ << "peer_message from=" << event.from << " bytes=" << event.bytes;
    return text_.str();
  }
  // Events that the wire format has no record for.
  template <typename Other>
  std::string operator()(const Other&) {
    return "not an event of the wire format";
  }

 private:
  std::ostringstream text_;
};

std::vector<std::string> TextOfBatch(std::string_view batch) {
  const BatchHeader header = HeaderOf(batch);
  const std::string_view body = batch.substr(kBatchHeaderSize);
  std::vector<std::string> lines;
  for (std::uint32_t index = 0; index < header.record_count; ++index) {
    const auto record = std::get<Record>(DecodeRecord(header, body, index));
    lines.push_back(std::to_string(record.instance) + " " + std::visit(EventPrinter(), record.payload));
  }
  return lines;
}

TEST(GoldenBytes, EveryEventIsDecodedWithAllFields) {
  const std::string settings_text = "services.count=1\n";
  const std::string message = "hi 7";
  const std::string entries = FromHex(
      "3f800000 0000 01 03124a07 000b 0000000000000000 3f800000 00"
      "3fc00000 0001 02 2c9011f2 000c 00000000005d1420 00000000 03"
      "00000000 0002 00 00000009 0000 0000000000000001 40000000 ff");
  const std::string batch = BatchBytes(
      12, "0000000000805c5a",
      {EventRecord("03fc 0003 0000000000000007 00000000 00000011"),
       EventRecord("0410 00000004 00000015 00000003"), EventRecord("0406 0003 00 0000000000000029 00000004"),
       EventRecord("0406 0003 01 0000000000000029 00000004"),
       EventRecord("0406 0003 02 0000000000000029 00000004"),
       EventRecord("0406 0003 03 0000000000000029 ffffffff"),
       EventRecord("03f2 0003 0001af0f5d3a91c4 0002 00000001 91f03b7c55d20a64 0003a980 00002ee0 41300000 "
                   "43ce4000 0003"),
       EventRecord("03f2 0004 0001af0f5d3a91c5 0000 00000000 0000000000000000 ffffffff 00000000 00000000 "
                   "00000000 0001"),
       EventRecord("044c 0003 0001af0f5d3a91c4 0000638e 03124a07 01 00004844 02 00c8 04 40c80000 3f800000 "
                   "00000000 bf000000"),
       EventRecord("044c 0003 0001af0f5d3a91c4 00000001 03124a07 00 00004844 00 00cc 00"),
       EventRecord("044c 0003 0001af0f5d3a91c4 fffffffc 03124a07 00 ffffffff ff 0199 00"),
       EventRecord("0424 0003 0001af0f5d3a91c4 03124a07 05 00002422"),
       EventRecord("041a 0003 2c9011f2 00c8 00000578 02 40c80000 3f800000"),
       EventRecord("042e 0003 000000000000004d"), EventRecord("0442 0005 000ebd970e6f2b19"),
       EventRecord("03e8 0003 0002 00000011 00000004"), EventRecord("0438 0003")},
      settings_text + message + entries);
  const std::vector<std::string> expected = {
      "3 instance_started seed=7 settings=services.count=1\n",
      "0 list_defined slot=4"
      " {server=51530247 group=11 zone=0 kind=0 state=1 capacity=1 boot=0 listed_primary=1}"
      " {server=747639282 group=12 zone=1 kind=3 state=2 capacity=1.5 boot=6100000 listed_primary=0}"
      " {server=9 group=0 zone=2 kind=255 state=0 capacity=0 boot=1 listed_primary=0}",
      "3 list_announced kind=0 version=41 slot=4",
      "3 list_announced kind=1 version=41 slot=4",
      "3 list_announced kind=2 version=41 slot=4",
      "3 list_announced kind=3 version=41 slot=4294967295",
      "3 request id=473955500200388 class=2 tenant=1 group=11 key=10515970535111920228 remaining=240000"
      " ms_since_write=412.5 retry=1",
      "4 request id=473955500200389 class=0 tenant=0 group=0 key=0 remaining=4294967295 ms_since_write=0 "
      "retry=0",
      "3 attempt_ended id=473955500200388 attempt=2 server=51530247 status=0 elapsed=18500 request_ended=1 "
      "role=2 "
      "position=6371"
      " report=[6.25 1 0 -0.5]",
      "3 attempt_ended id=473955500200388 attempt=0 server=51530247 status=1 elapsed=18500 request_ended=0 "
      "role=1 position=-1"
      " report=[]",
      "3 attempt_ended id=473955500200388 attempt=255 server=51530247 status=8 elapsed=4294967295 "
      "request_ended=0 role=0"
      " position=1073741823 report=[]",
      "3 response_started id=473955500200388 attempt=5 server=51530247",
      "3 health_check_ended server=747639282 status=0 elapsed=1400 report=[6.25 1]",
      "3 timer token=77",
      "5 request_cancelled id=4149106153827097",
      "3 peer_message from=2 bytes=hi 7",
      "3 instance_stopped",
  };
  EXPECT_EQ(TextOfBatch(batch), expected);
}

TEST(GoldenBytes, EveryStatusCodeIsDecoded) {
  const std::vector<std::pair<std::string, Status>> statuses = {
      {"00c8", Status::kOk},         {"00cc", Status::kStaleOrWrongRole}, {"01f6", Status::kError},
      {"01ad", Status::kOverloaded}, {"0198", Status::kTimeout},          {"0209", Status::kConnectFailed},
      {"0208", Status::kReset},      {"01bc", Status::kCancelled},        {"0199", Status::kNotSent}};
  for (const auto& [code, status] : statuses) {
    const std::string batch = BatchBytes(
        1, "0000000000000000",
        {EventRecord("041a 0003 00000001 " + code + " 00000000 00"),
         EventRecord("044c 0003 0000000000000001 00000000 00000001 00 00000000 00 " + code + " 00")},
        "");
    const std::string number = std::to_string(static_cast<int>(status));
    EXPECT_EQ(
        TextOfBatch(batch),
        (std::vector<std::string>{"3 health_check_ended server=1 status=" + number + " elapsed=0 report=[]",
                                  "3 attempt_ended id=1 attempt=0 server=1 status=" + number +
                                      " elapsed=0 request_ended=0 role=0 position=-1 report=[]"}))
        << code;
  }
}

TEST(GoldenBytes, EveryActionIsEncoded) {
  const std::vector<InstanceAction> actions = {
      {3, Action(Send{0x1af0f5d3a91c4, 0x03124a07, 0x13880})},
      {3, Action(Reject{0xebd970e6f2b19, 250000})},
      {3, Action(Fail{0xebd970e6f2b19})},
      {3, Action(Cancel{0x1af0f5d3a91c4, 2})},
      {3, Action(SetTimer{500000, 0x4d})},
      {3, Action(CheckHealth{0x2c9011f2})},
      {3, Action(CloseIdle{0x2c9011f2})},
      {3, Action(Gossip{{}, "to all"})},
      {3, Action(Gossip{2, "to one"})},
      {5, Action(Log{"two servers known"})},
      {3, Action(WatchEndpointList{true})},
      {3, Action(WatchEndpointList{false})},
      {3, Action(FetchEndpointList{})},
      {0xfffe, InstanceFailed{"it broke"}},
  };
  EXPECT_EQ(ToHex(EncodeReply(12, actions)),
            ToHex(FromHex("0000000c 00000175 0000000e"
                          "03e8 0003 0001af0f5d3a91c4 03124a07 00013880 00000000"
                          "03f2 0003 000ebd970e6f2b19 0003d090 0000000000000000"
                          "03fc 0003 000ebd970e6f2b19 000000000000000000000000"
                          "0406 0003 0001af0f5d3a91c4 02 0000000000000000000000"
                          "0410 0003 0007a120 000000000000004d 0000000000000000"
                          "041a 0003 2c9011f2 00000000000000000000000000000000"
                          "0424 0003 2c9011f2 00000000000000000000000000000000"
                          "042e 0003 ffffffff 00000000 00000006 0000000000000000"
                          "042e 0003 00000002 00000006 00000006 0000000000000000"
                          "0438 0005 0000000c 00000011 000000000000000000000000"
                          "044c 0003 01 00000000000000000000000000000000000000"
                          "044c 0003 00 00000000000000000000000000000000000000"
                          "0456 0003 0000000000000000000000000000000000000000"
                          "0442 fffe 0000001d 00000008 000000000000000000000000") +
                  "to allto onetwo servers knownit broke"));
}

TEST(GoldenBytes, DurationsOutOfRangeAreClamped) {
  const std::string largest = "ffffffff";
  const std::vector<std::pair<Micros, std::string>> durations = {{-5, "00000000"},
                                                                 {0, "00000000"},
                                                                 {0xffffffff, largest},
                                                                 {0x100000000, largest},
                                                                 {Micros{1} << 62, largest}};
  for (const auto& [duration, hex] : durations) {
    EXPECT_EQ(ToHex(EncodeReply(1, {{3, Action(Send{1, 2, duration})},
                                    {3, Action(Reject{1, duration})},
                                    {3, Action(SetTimer{duration, 1})}})),
              ToHex(FromHex("00000001 00000048 00000003"
                            "03e8 0003 0000000000000001 00000002" +
                            hex +
                            "00000000"
                            "03f2 0003 0000000000000001" +
                            hex +
                            "0000000000000000"
                            "0410 0003" +
                            hex + "0000000000000001 0000000000000000")));
  }
}

TEST(GoldenBytes, RepliesToRecordedBatches) {
  const std::string settings_text =
      "services.count=2\nservices.0.aim=300000\nservices.0.deadline=750000\nservices.0.semantics=free\n"
      "services.1.aim=300000\nservices.1.deadline=750000\nservices.1.semantics=single_shot\n"
      "domain.freshness=loose,update\nquantum=1000\n";
  const std::string entries = FromHex(
      "3f800000 0000 01 00000007 0000 0000000000000000 3f800000 00"
      "3f800000 0000 01 00000008 0000 0000000000000000 00000000 00");
  const auto size = static_cast<unsigned char>(settings_text.size());
  ASSERT_EQ(size, settings_text.size());
  const std::string size_hex = "000000" + ToHex(std::string(1, static_cast<char>(size)));
  const std::vector<std::string> batches = {
      BatchBytes(1, "00000000000003e8",
                 {EventRecord("03fc 0003 0000000000000007 00000000" + size_hex),
                  EventRecord("0410 00000000" + size_hex + "00000002"),
                  EventRecord("0406 0003 02 0000000000000001 00000000")},
                 settings_text + entries),
      BatchBytes(2, "00000000000007d0",
                 {EventRecord("03f2 0003 0000000000000005 0000 00000000 0000000000000000 000b71b0"),
                  EventRecord("03f2 0003 0000000000000006 0001 00000000 0000000000000009 000b71b0"),
                  EventRecord("03f2 0003 0000000000000007 0000 00000000 0000000000000000 000b71b0")},
                 ""),
      BatchBytes(3, "0000000000002710",
                 {EventRecord("044c 0003 0000000000000005 000007d2 00000008 00 00001f40 00 00c8 00"),
                  EventRecord("044c 0003 0000000000000006 000007d1 00000007 00 00001f40 00 01f6 00"),
                  EventRecord("044c 0003 0000000000000007 00000000 00000008 00 00001f40 00 0208 00"),
                  EventRecord("0442 0003 0000000000000007"), EventRecord("03e8 0003 0001 00000000 00000002"),
                  EventRecord("0424 0003 0000000000000005 00000007 00 00000001")},
                 "??"),
      BatchBytes(4, "0000000000004e20", {EventRecord("042e 0003 0000000000000001"), EventRecord("0438 0003")},
                 "")};
  RouterInstances instances;
  std::vector<std::string> replies;
  for (const std::string& batch : batches) {
    replies.push_back(ToHex(std::get<std::string>(
        instances.HandleBatch(HeaderOf(batch), std::string_view(batch).substr(kBatchHeaderSize)))));
  }
  const std::vector<std::string> expected = {
      "000000010000001800000001"
      "041000030000927cffffffffffffffff0000000000000000",
      "000000020000009000000006"
      "04100003000b71b000000000000000050000000000000000"
      "03e80003000000000000000500000008000493e000000000"
      "04100003000b71b000000000000000060000000000000000"
      "03e80003000000000000000600000007000b71b000000000"
      "04100003000b71b000000000000000070000000000000000"
      "03e80003000000000000000700000007000493e000000000",
      "000000030000004800000003"
      "03e80003000000000000000500000007000474a000000000"
      "03fc00030000000000000006000000000000000000000000"
      "03e80003000000000000000700000008000474a000000000",
      "000000040000000000000000"};
  EXPECT_EQ(replies, expected);
}

}  // namespace
}  // namespace tulipyoke::wire
