#include "src/dnssd/transfer_end.hpp"

namespace tulipyoke::dnssd {
namespace {

constexpr std::size_t kClosingSoasOfAxfr = 1;
constexpr std::size_t kClosingSoasOfIxfr = 2;

}  // namespace

bool TransferEndDetector::Feed(const Message& message) {
  for (const Record& record : message.answers) {
    const std::optional<std::uint32_t> serial = SoaSerial(record);
    ++records_;
    if (records_ == 1) {
      if (!serial) return true;
      serial_ = serial;
      continue;
    }
    if (records_ == 2 && serial && serial != serial_) incremental_ = true;
    if (serial && serial == serial_) ++closing_soas_;
  }
  if (records_ == 0) return true;
  // A lone SOA that is not newer says that the copy is up to date (RFC 1995, 2).
  if (records_ == 1) return held_serial_ && serial_ && !SerialBefore(*held_serial_, *serial_);
  return closing_soas_ >= (incremental_ ? kClosingSoasOfIxfr : kClosingSoasOfAxfr);
}

}  // namespace tulipyoke::dnssd
