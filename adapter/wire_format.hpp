// Sizes and codes of the simulator's wire format. All integers are big-endian.
//
// A batch is a header of kBatchHeaderSize bytes and a body: event records of kEventRecordSize bytes each,
// followed by a tail that the records refer to by offset and size. The reply is a header of kReplyHeaderSize
// bytes and a body of the same structure with action records of kActionRecordSize bytes.
#ifndef TULIPYOKE_ADAPTER_WIRE_FORMAT_HPP_
#define TULIPYOKE_ADAPTER_WIRE_FORMAT_HPP_

#include <cstddef>
#include <cstdint>

namespace tulipyoke::wire {

// Sizes in bytes.
inline constexpr std::size_t kBatchHeaderSize = 20;
inline constexpr std::size_t kReplyHeaderSize = 12;
inline constexpr std::size_t kEventRecordSize = 48;
inline constexpr std::size_t kActionRecordSize = 24;
inline constexpr std::size_t kEndpointEntrySize = 26;
inline constexpr std::size_t kMaxBodySize = std::size_t{1} << 28;

// The number of slots that store endpoint lists for later records and batches.
inline constexpr std::uint32_t kListSlotCount = 16;
// The maximum number of values in a load report.
inline constexpr std::size_t kMaxReportValues = 4;
// The peer number that addresses all peers.
inline constexpr std::uint32_t kAllPeers = 0xffffffff;
// The bit of a request's flags that marks a retry by the client.
inline constexpr std::uint16_t kRetryFlag = 2;

enum class EventCode : std::uint16_t {
  kPeerMessage = 1000,
  kRequestArrived = 1010,
  kInstanceStarted = 1020,
  kListAnnounced = 1030,
  kListDefined = 1040,
  kHealthCheckEnded = 1050,
  kResponseStarted = 1060,
  kTimerFired = 1070,
  kInstanceStopped = 1080,
  kRequestCancelled = 1090,
  kAttemptEnded = 1100,
};

enum class ActionCode : std::uint16_t {
  kSend = 1000,
  kReject = 1010,
  kFail = 1020,
  kCancel = 1030,
  kSetTimer = 1040,
  kCheckHealth = 1050,
  kCloseIdle = 1060,
  kGossip = 1070,
  kLog = 1080,
  kInstanceFailed = 1090,
  kWatchEndpointList = 1100,
  kFetchEndpointList = 1110,
};

}  // namespace tulipyoke::wire

#endif  // TULIPYOKE_ADAPTER_WIRE_FORMAT_HPP_
