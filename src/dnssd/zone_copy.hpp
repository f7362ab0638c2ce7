// A copy of one zone, kept by transfers: whole (RFC 5936) or as differences between serials (RFC 1995).
#ifndef TULIPYOKE_SRC_DNSSD_ZONE_COPY_HPP_
#define TULIPYOKE_SRC_DNSSD_ZONE_COPY_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "src/dnssd/message.hpp"

namespace tulipyoke::dnssd {

// Whether the answers of these messages are a whole transfer: it ends with the SOA that it began with, and an
// incremental one names that SOA once before its last addition. False: more must come. Bounded by the caller.
class TransferEnd {
 public:
  // `held`: the serial that an incremental one was asked from; nothing: a whole one was asked for.
  explicit TransferEnd(std::optional<std::uint32_t> held) : held_(held) {}
  bool Feed(const Message& message);

 private:
  std::optional<std::uint32_t> held_;
  std::size_t records_ = 0, ends_ = 0;
  std::optional<std::uint32_t> serial_;
  bool incremental_ = false;
};

class ZoneCopy {
 public:
  // The names and types whose records changed; nothing where the records are no transfer that fits the copy:
  // the copy is then as before. `most` bounds the records held.
  std::optional<std::set<Question>> Apply(const std::vector<Record>& records, std::size_t most);
  const std::vector<Record>& Get(const Question& question) const;
  bool empty() const { return !serial_; }
  std::uint32_t serial() const { return serial_.value_or(0); }
  std::size_t size() const { return size_; }
  void Clear() { *this = ZoneCopy(); }

 private:
  using Sets = std::map<Question, std::vector<Record>>;
  std::optional<std::set<Question>> Replace(const std::vector<Record>& records, std::size_t most);
  std::optional<std::set<Question>> Difference(const std::vector<Record>& records, std::size_t most);

  std::optional<std::uint32_t> serial_;
  Sets sets_;
  std::size_t size_ = 0;
};

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_ZONE_COPY_HPP_
