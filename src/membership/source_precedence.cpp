#include "src/membership/source_precedence.hpp"

#include <algorithm>

namespace tulipyoke::membership {

bool IsAnnounced(SourceState state) {
  return state == SourceState::kReady || state == SourceState::kDraining;
}

bool IsDrained(SourceState state) {
  return state == SourceState::kVanished || state == SourceState::kDraining;
}

bool HasState(const SourceRecords& records, SourceState state) {
  return std::any_of(records.begin(), records.end(),
                     [&](const SourceRecord& record) { return record.state == state; });
}

bool IsAnnouncedByAny(const SourceRecords& records) {
  return std::any_of(records.begin(), records.end(),
                     [](const SourceRecord& record) { return IsAnnounced(record.state); });
}

bool IsConflicting(const SourceRecords& records) {
  const bool drained = std::any_of(records.begin(), records.end(),
                                   [](const SourceRecord& record) { return IsDrained(record.state); });
  return drained && HasState(records, SourceState::kReady);
}

const SourceRecord* AuthoritativeRecord(const SourceRecords& records) {
  const SourceRecord* last_vanished = nullptr;
  for (const SourceRecord& record : records) {
    if (IsAnnounced(record.state)) return &record;
    if (record.state != SourceState::kVanished) continue;
    if (!last_vanished || record.since > last_vanished->since) last_vanished = &record;
  }
  return last_vanished;
}

}  // namespace tulipyoke::membership
