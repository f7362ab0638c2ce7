#include "adapter/reply_encoder.hpp"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <string_view>

#include "adapter/big_endian.hpp"
#include "adapter/wire_format.hpp"

namespace tulipyoke::wire {
namespace {

std::uint32_t ToDurationField(Micros duration) {
  return static_cast<std::uint32_t>(
      std::clamp<Micros>(duration, 0, std::numeric_limits<std::uint32_t>::max()));
}

// Encodes action records and the tail that they refer to.
class ActionWriter {
 public:
  void Write(const InstanceAction& action) {
    const std::size_t start = records_.size();
    instance_ = action.instance;
    std::visit([this](const auto& alternative) { Encode(alternative); }, action.action);
    records_.resize(start + kActionRecordSize, '\0');
  }

  const std::string& records() const { return records_; }
  const std::string& tail() const { return tail_; }

 private:
  void Encode(const Action& action) {
    std::visit([this](const auto& alternative) { Encode(alternative); }, action);
  }

  void Encode(const Send& action) {
    BeginRecord(ActionCode::kSend);
    AppendBigEndian(records_, action.id);
    AppendBigEndian(records_, action.server);
    AppendBigEndian(records_, ToDurationField(action.timeout));
  }

  void Encode(const Reject& action) {
    BeginRecord(ActionCode::kReject);
    AppendBigEndian(records_, action.id);
    AppendBigEndian(records_, ToDurationField(action.retry_after));
  }

  void Encode(const Fail& action) {
    BeginRecord(ActionCode::kFail);
    AppendBigEndian(records_, action.id);
  }

  void Encode(const Cancel& action) {
    BeginRecord(ActionCode::kCancel);
    AppendBigEndian(records_, action.id);
    AppendBigEndian(records_, static_cast<std::uint8_t>(action.attempt));
  }

  void Encode(const SetTimer& action) {
    BeginRecord(ActionCode::kSetTimer);
    AppendBigEndian(records_, ToDurationField(action.delay));
    AppendBigEndian(records_, action.token);
  }

  void Encode(const CheckHealth& action) {
    BeginRecord(ActionCode::kCheckHealth);
    AppendBigEndian(records_, action.server);
  }

  void Encode(const CloseIdle& action) {
    BeginRecord(ActionCode::kCloseIdle);
    AppendBigEndian(records_, action.server);
  }

  void Encode(const Gossip& action) {
    BeginRecord(ActionCode::kGossip);
    AppendBigEndian(records_, action.peer ? static_cast<std::uint32_t>(*action.peer) : kAllPeers);
    AppendText(action.bytes);
  }

  void Encode(const Log& action) {
    BeginRecord(ActionCode::kLog);
    AppendText(action.text);
  }

  void Encode(const WatchEndpointList& action) {
    BeginRecord(ActionCode::kWatchEndpointList);
    AppendBigEndian(records_, static_cast<std::uint8_t>(action.on ? 1 : 0));
  }

  void Encode(const FetchEndpointList&) { BeginRecord(ActionCode::kFetchEndpointList); }

  void Encode(const InstanceFailed& action) {
    BeginRecord(ActionCode::kInstanceFailed);
    AppendText(action.reason);
  }

  void BeginRecord(ActionCode code) {
    AppendBigEndian(records_, static_cast<std::uint16_t>(code));
    AppendBigEndian(records_, instance_);
  }

  // Appends the text to the tail, and its offset and size to the record.
  void AppendText(std::string_view text) {
    AppendBigEndian(records_, static_cast<std::uint32_t>(tail_.size()));
    AppendBigEndian(records_, static_cast<std::uint32_t>(text.size()));
    tail_ += text;
  }

  std::uint16_t instance_ = 0;  // instance of the record that is being written
  std::string records_;
  std::string tail_;
};

}  // namespace

std::string EncodeReply(std::uint32_t number, const std::vector<InstanceAction>& actions) {
  ActionWriter writer;
  for (const InstanceAction& action : actions) writer.Write(action);
  std::string reply;
  AppendBigEndian(reply, number);
  AppendBigEndian(reply, static_cast<std::uint32_t>(writer.records().size() + writer.tail().size()));
  AppendBigEndian(reply, static_cast<std::uint32_t>(actions.size()));
  return reply + writer.records() + writer.tail();
}

}  // namespace tulipyoke::wire
