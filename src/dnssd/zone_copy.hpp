// A copy of one zone, kept up to date by transfers: complete ones (AXFR, RFC 5936) and differences between
// serials (IXFR, RFC 1995). No I/O.
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

class ZoneCopy {
 public:
  // Applies the answer records of one transfer, at most `max_records` in the copy. Returns the names and
  // types whose records changed. None: the records are no transfer that fits the copy, which is then
  // unchanged.
  std::optional<std::set<Question>> Apply(const std::vector<Record>& records, std::size_t max_records);
  // The records of one name and type; empty where there are none.
  const std::vector<Record>& Get(const Question& question) const;
  void Clear() { *this = ZoneCopy(); }

  bool empty() const { return !serial_; }
  // None: the copy is empty.
  std::optional<std::uint32_t> serial() const { return serial_; }
  // The number of records.
  std::size_t size() const { return size_; }

 private:
  using RecordSets = std::map<Question, std::vector<Record>>;

  std::optional<std::set<Question>> ApplyComplete(const std::vector<Record>& records,
                                                  std::size_t max_records);
  std::optional<std::set<Question>> ApplyDifferences(const std::vector<Record>& records,
                                                     std::size_t max_records);
  // The record sets in which `sets` and the copy differ.
  std::set<Question> ChangesTo(const RecordSets& sets) const;
  // Replaces the record sets given; empty ones are removed. Returns their names and types.
  std::set<Question> Merge(RecordSets&& sets);

  std::optional<std::uint32_t> serial_;
  RecordSets sets_;
  std::size_t size_ = 0;
};

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_ZONE_COPY_HPP_
