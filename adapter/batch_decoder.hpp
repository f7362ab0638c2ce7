// Decodes batches of the simulator's wire into events for the router instances.
#ifndef TULIPYOKE_ADAPTER_BATCH_DECODER_HPP_
#define TULIPYOKE_ADAPTER_BATCH_DECODER_HPP_

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "adapter/format_error.hpp"
#include "adapter/wire_format.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::wire {

struct BatchHeader {
  std::uint32_t number = 0;
  std::uint64_t now = 0;  // clock time in microseconds
  std::uint32_t body_size = 0;
  std::uint32_t records = 0;
};

// An instance starts, or starts anew without what it knew.
struct InstanceStarted {
  std::uint64_t seed = 0;
  std::string_view options;  // settings, see settings_parser.hpp; points into the body
};

struct InstanceStopped {};

// A list of servers is stored in a slot for the ListAnnounced events that follow, also in later batches.
struct ListDefined {
  std::uint32_t slot = 0;
  std::vector<EndpointEntry> entries;
};

// An instance is given the list in a slot. A list of kind kFailed has no entries and any slot.
struct ListAnnounced {
  EndpointListKind kind = EndpointListKind::kFull;
  std::uint64_t version = 0;
  std::uint32_t slot = 0;
};

// The adapter handles all but Event itself.
using Payload = std::variant<InstanceStarted, InstanceStopped, ListDefined, ListAnnounced, Event>;

struct Record {
  std::uint16_t instance = 0;  // unused by ListDefined
  Payload payload;
};

// Decodes the first kBatchHeaderSize bytes.
Decoded<BatchHeader> DecodeBatchHeader(std::string_view bytes);

// Decodes the record at `index` of a body. Views in the result point into `body`.
Decoded<Record> DecodeRecord(const BatchHeader& header, std::string_view body, std::uint32_t index);

}  // namespace tulipyoke::wire

#endif  // TULIPYOKE_ADAPTER_BATCH_DECODER_HPP_
