// The simulator's wire: bytes to events and actions to bytes, one to one.
#ifndef TULIPYOKE_ADAPTER_CODEC_HPP_
#define TULIPYOKE_ADAPTER_CODEC_HPP_

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke::wire {

// What is wrong with the bytes that came in, in plain words.
class FormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline constexpr std::size_t kBatchHeaderSize = 20;
inline constexpr std::size_t kReplyHeaderSize = 12;
inline constexpr std::size_t kEventSize = 48;
inline constexpr std::size_t kActionSize = 24;
inline constexpr std::size_t kEntrySize = 26;
inline constexpr std::size_t kLargestBody = std::size_t{1} << 28;
inline constexpr int kListBanks = 16;

struct BatchHeader {
  std::uint32_t number = 0;
  std::uint64_t now = 0;
  std::uint32_t body_size = 0;
  std::uint32_t records = 0;
};

// The events that the adapter itself answers.
struct InstanceStarted {
  std::uint64_t seed = 0;
  std::string_view options;
};
struct InstanceStopped {};
struct ListDefined {
  std::uint32_t bank = 0;
  std::vector<EndpointEntry> entries;
};
struct ListAnnounced {
  EndpointListKind kind = EndpointListKind::kFull;
  std::uint64_t version = 0;
  std::uint32_t bank = 0;
};

using Payload = std::variant<InstanceStarted, InstanceStopped, ListDefined, ListAnnounced, Event>;
struct Record {
  std::uint16_t instance = 0;  // unused by ListDefined
  Payload payload;
};

BatchHeader ParseBatchHeader(std::string_view bytes);
// Parses the record at `index` of a body; views in the result point into `body`.
Record ParseRecord(const BatchHeader& header, std::string_view body, std::uint32_t index);

struct InstanceBroken {
  std::string reason;
};
struct Reply {
  std::uint16_t instance = 0;
  std::variant<Action, InstanceBroken> action;
};
std::string EncodeReply(std::uint32_t number, const std::vector<Reply>& replies);

}  // namespace tulipyoke::wire

#endif  // TULIPYOKE_ADAPTER_CODEC_HPP_
