#include "src/dnssd/zone_copy.hpp"

#include <algorithm>
#include <utility>

namespace tulipyoke::dnssd {
namespace {

std::optional<std::uint32_t> SerialOf(const Record& record) {
  const auto* soa = std::get_if<SoaData>(&record.data);
  return soa ? std::optional(soa->serial) : std::nullopt;
}

Question KeyOf(const Record& record) { return {record.name, record.type}; }

bool Same(const Record& a, const Record& b) { return a.data == b.data; }

}  // namespace

bool TransferEnd::Feed(const Message& message) {
  for (const Record& record : message.answers) {
    const auto serial = SerialOf(record);
    if (records_++ == 0) {
      if (!serial) return true;  // no transfer at all: there is nothing to wait for
      serial_ = serial;
      continue;
    }
    if (records_ == 2 && serial && serial != serial_) incremental_ = true;
    if (serial && serial == serial_) ++ends_;
  }
  // A lone SOA that is no news says that the copy is up to date (RFC 1995, 2).
  if (records_ == 0) return true;
  if (records_ == 1) return held_ && serial_ && !SerialBefore(*held_, *serial_);
  return ends_ >= (incremental_ ? 2u : 1u);
}

std::optional<std::set<Question>> ZoneCopy::Apply(const std::vector<Record>& records, std::size_t most) {
  if (records.empty() || !SerialOf(records.front())) return std::nullopt;
  if (records.size() == 1) {
    if (empty() || *SerialOf(records.front()) != serial()) return std::nullopt;
    return std::set<Question>();
  }
  if (SerialOf(records.back()) != SerialOf(records.front())) return std::nullopt;
  const auto second = SerialOf(records[1]);
  if (second && records.size() > 2) return Difference(records, most);
  return Replace(records, most);
}

std::optional<std::set<Question>> ZoneCopy::Replace(const std::vector<Record>& records, std::size_t most) {
  if (records.size() - 2 > most) return std::nullopt;
  Sets sets;
  for (std::size_t i = 1; i + 1 < records.size(); ++i) {
    if (SerialOf(records[i])) return std::nullopt;
    sets[KeyOf(records[i])].push_back(records[i]);
  }
  // In one order, so that two copies can be compared; each once.
  for (auto& [key, set] : sets) {
    std::sort(set.begin(), set.end(), [](const Record& a, const Record& b) { return a.data < b.data; });
    set.erase(std::unique(set.begin(), set.end(), Same), set.end());
  }
  std::set<Question> changed;
  for (const auto& [key, set] : sets) {
    const auto old = sets_.find(key);
    const bool same = old != sets_.end() && old->second.size() == set.size() &&
                      std::equal(set.begin(), set.end(), old->second.begin(), Same);
    if (!same) changed.insert(key);
  }
  for (const auto& [key, set] : sets_) {
    if (!sets.contains(key)) changed.insert(key);
  }
  sets_ = std::move(sets);
  size_ = records.size() - 2;
  serial_ = SerialOf(records.front());
  return changed;
}

std::optional<std::set<Question>> ZoneCopy::Difference(const std::vector<Record>& records, std::size_t most) {
  if (empty()) return std::nullopt;
  // Only the sets that the differences name are copied: what does not fit leaves everything as it was.
  Sets sets;
  const auto set_of = [&](const Question& key) -> std::vector<Record>& {
    const auto [it, added] = sets.try_emplace(key);
    if (const auto old = sets_.find(key); added && old != sets_.end()) it->second = old->second;
    return it->second;
  };
  std::uint32_t at = serial();
  std::size_t size = size_;
  const std::uint32_t last = *SerialOf(records.front());
  std::size_t i = 1;
  while (i + 1 < records.size()) {
    // One step: the SOA before, what goes, the SOA after, what comes.
    if (SerialOf(records[i]) != at) return std::nullopt;
    for (++i; i + 1 < records.size() && !SerialOf(records[i]); ++i) {
      std::vector<Record>& set = set_of(KeyOf(records[i]));
      const auto gone =
          std::find_if(set.begin(), set.end(), [&](const Record& r) { return Same(r, records[i]); });
      if (gone == set.end()) return std::nullopt;
      set.erase(gone);
      --size;
    }
    if (i + 1 >= records.size()) return std::nullopt;
    const std::uint32_t next = *SerialOf(records[i]);
    if (!SerialBefore(at, next)) return std::nullopt;
    at = next;
    for (++i; i + 1 < records.size() && !SerialOf(records[i]); ++i) {
      std::vector<Record>& set = set_of(KeyOf(records[i]));
      if (std::any_of(set.begin(), set.end(), [&](const Record& r) { return Same(r, records[i]); })) continue;
      set.push_back(records[i]);
      if (++size > most) return std::nullopt;
    }
  }
  if (at != last) return std::nullopt;
  std::set<Question> changed;
  for (auto& [key, set] : sets) {
    changed.insert(key);
    if (set.empty())
      sets_.erase(key);
    else
      sets_[key] = std::move(set);
  }
  size_ = size;
  serial_ = last;
  return changed;
}

const std::vector<Record>& ZoneCopy::Get(const Question& question) const {
  static const std::vector<Record> none;
  const auto it = sets_.find(question);
  return it == sets_.end() ? none : it->second;
}

}  // namespace tulipyoke::dnssd
