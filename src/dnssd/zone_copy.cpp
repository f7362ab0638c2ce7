#include "src/dnssd/zone_copy.hpp"

#include <algorithm>
#include <utility>

namespace tulipyoke::dnssd {
namespace {

using RecordSets = std::map<Question, std::vector<Record>>;

Question KeyOf(const Record& record) { return {record.name, record.type}; }

bool SameData(const Record& left, const Record& right) { return left.data == right.data; }

// Sorts each set, so that two copies can be compared, and drops duplicates.
void Normalize(RecordSets& sets) {
  for (auto& [key, set] : sets) {
    std::sort(set.begin(), set.end(),
              [](const Record& left, const Record& right) { return left.data < right.data; });
    set.erase(std::unique(set.begin(), set.end(), SameData), set.end());
  }
}

// Applies the difference sequences of one IXFR to copies of the record sets that they name, so that the zone
// copy stays as it is where they do not fit.
class DifferenceReader {
 public:
  DifferenceReader(const RecordSets& current, std::size_t size, std::size_t max_records,
                   const std::vector<Record>& records)
      : current_(current), size_(size), max_records_(max_records), records_(records) {}

  // One sequence: the old SOA, records to delete, the new SOA, records to add. Returns the new serial.
  std::optional<std::uint32_t> ApplySequence(std::uint32_t serial) {
    if (SoaSerial(records_[position_]) != serial) return std::nullopt;
    ++position_;
    if (!ApplyDeletions() || AtEnd()) return std::nullopt;
    const std::uint32_t next = *SoaSerial(records_[position_]);
    if (!SerialBefore(serial, next)) return std::nullopt;
    ++position_;
    if (!ApplyAdditions()) return std::nullopt;
    return next;
  }
  // The last record is the SOA that closes the transfer.
  bool AtEnd() const { return position_ + 1 >= records_.size(); }
  std::size_t size() const { return size_; }
  RecordSets TakeSets() { return std::move(changed_); }

 private:
  bool AtRecord() const { return !AtEnd() && !SoaSerial(records_[position_]); }

  std::vector<Record>& SetOf(const Question& key) {
    const auto [it, added] = changed_.try_emplace(key);
    const auto current = current_.find(key);
    if (added && current != current_.end()) it->second = current->second;
    return it->second;
  }

  bool ApplyDeletions() {
    for (; AtRecord(); ++position_) {
      const Record& record = records_[position_];
      std::vector<Record>& set = SetOf(KeyOf(record));
      const auto deleted =
          std::find_if(set.begin(), set.end(), [&](const Record& held) { return SameData(held, record); });
      if (deleted == set.end()) return false;
      set.erase(deleted);
      --size_;
    }
    return true;
  }

  bool ApplyAdditions() {
    for (; AtRecord(); ++position_) {
      const Record& record = records_[position_];
      std::vector<Record>& set = SetOf(KeyOf(record));
      const bool held =
          std::any_of(set.begin(), set.end(), [&](const Record& other) { return SameData(other, record); });
      if (held) continue;
      set.push_back(record);
      ++size_;
      if (size_ > max_records_) return false;
    }
    return true;
  }

  const RecordSets& current_;
  RecordSets changed_;
  std::size_t size_;
  std::size_t max_records_;
  const std::vector<Record>& records_;
  std::size_t position_ = 1;  // after the SOA that opens the transfer
};

}  // namespace

std::optional<std::set<Question>> ZoneCopy::Apply(const std::vector<Record>& records,
                                                  std::size_t max_records) {
  if (records.empty() || !SoaSerial(records.front())) return std::nullopt;
  if (records.size() == 1) {
    // The zone has not changed (RFC 1995, 2).
    if (empty() || SoaSerial(records.front()) != serial()) return std::nullopt;
    return std::set<Question>();
  }
  if (SoaSerial(records.back()) != SoaSerial(records.front())) return std::nullopt;
  const bool incremental = SoaSerial(records[1]) && records.size() > 2;
  return incremental ? ApplyDifferences(records, max_records) : ApplyComplete(records, max_records);
}

std::optional<std::set<Question>> ZoneCopy::ApplyComplete(const std::vector<Record>& records,
                                                          std::size_t max_records) {
  const std::size_t size = records.size() - 2;  // less the SOA at either end
  if (size > max_records) return std::nullopt;
  RecordSets sets;
  for (std::size_t i = 1; i + 1 < records.size(); ++i) {
    if (SoaSerial(records[i])) return std::nullopt;
    sets[KeyOf(records[i])].push_back(records[i]);
  }
  Normalize(sets);
  std::set<Question> changed = ChangesTo(sets);
  sets_ = std::move(sets);
  size_ = size;
  serial_ = SoaSerial(records.front());
  return changed;
}

std::set<Question> ZoneCopy::ChangesTo(const RecordSets& sets) const {
  std::set<Question> changed;
  for (const auto& [key, set] : sets) {
    const auto old = sets_.find(key);
    const bool same = old != sets_.end() && old->second.size() == set.size() &&
                      std::equal(set.begin(), set.end(), old->second.begin(), SameData);
    if (!same) changed.insert(key);
  }
  for (const auto& [key, set] : sets_) {
    if (!sets.contains(key)) changed.insert(key);
  }
  return changed;
}

std::optional<std::set<Question>> ZoneCopy::ApplyDifferences(const std::vector<Record>& records,
                                                             std::size_t max_records) {
  if (empty()) return std::nullopt;
  DifferenceReader reader(sets_, size_, max_records, records);
  std::optional<std::uint32_t> serial = serial_;
  while (!reader.AtEnd()) {
    serial = reader.ApplySequence(*serial);
    if (!serial) return std::nullopt;
  }
  if (serial != SoaSerial(records.front())) return std::nullopt;
  size_ = reader.size();
  serial_ = serial;
  return Merge(reader.TakeSets());
}

std::set<Question> ZoneCopy::Merge(RecordSets&& sets) {
  std::set<Question> changed;
  for (auto& [key, set] : sets) {
    changed.insert(key);
    if (set.empty())
      sets_.erase(key);
    else
      sets_[key] = std::move(set);
  }
  return changed;
}

const std::vector<Record>& ZoneCopy::Get(const Question& question) const {
  static const std::vector<Record> kNoRecords;
  const auto it = sets_.find(question);
  return it == sets_.end() ? kNoRecords : it->second;
}

}  // namespace tulipyoke::dnssd
