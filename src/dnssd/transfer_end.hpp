// Detects the end of a zone transfer, whose messages come one by one over TCP (RFC 1995, RFC 5936).
#ifndef TULIPYOKE_SRC_DNSSD_TRANSFER_END_HPP_
#define TULIPYOKE_SRC_DNSSD_TRANSFER_END_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "src/dnssd/message.hpp"

namespace tulipyoke::dnssd {

// A transfer ends with the SOA that it began with; an incremental one names that SOA once more before its
// last additions. The caller bounds the size.
class TransferEndDetector {
 public:
  // `held_serial`: the serial that an IXFR was sent with; none: an AXFR was sent.
  explicit TransferEndDetector(std::optional<std::uint32_t> held_serial) : held_serial_(held_serial) {}

  // Takes the next message. True: the transfer is complete, or is no transfer at all; no more is to come.
  bool Feed(const Message& message);

 private:
  std::optional<std::uint32_t> held_serial_;
  std::optional<std::uint32_t> serial_;  // of the first SOA
  std::size_t records_ = 0;
  std::size_t closing_soas_ = 0;  // further SOAs with that serial
  bool incremental_ = false;
};

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_TRANSFER_END_HPP_
