#include "src/membership/restart_detection.hpp"

#include <algorithm>

namespace tulipyoke::membership {
namespace {

constexpr Micros kMicrosPerMillisecond = 1000;

// A record that the previous process vanished does not apply to the new process.
void DiscardRecordsOfPreviousProcess(SourceRecords& records, std::int64_t start_ms) {
  for (SourceRecord& record : records) {
    const bool vanished = record.state == SourceState::kVanished;
    if (vanished && record.since <= start_ms * kMicrosPerMillisecond) record.state = SourceState::kUnknown;
  }
}

}  // namespace

ProcessChange DetectRestart(Micros now, SourceRecords& records, std::size_t source,
                            SourceState previous_state, ProcessIdentity& process) {
  const std::string address = AuthoritativeRecord(records)->listed.address;
  const std::int64_t announced_start_ms = records[source].listed.started_unix_ms;
  const bool known = !process.address.empty();
  ProcessChange change;
  change.moved = known && address != process.address;
  if (announced_start_ms > process.announced_start_ms) {
    change.restarted = known && announced_start_ms > process.start_ms;
    process.start_ms = std::max(process.start_ms, announced_start_ms);
    process.announced_start_ms = announced_start_ms;
    DiscardRecordsOfPreviousProcess(records, announced_start_ms);
  } else if (change.moved || (previous_state == SourceState::kVanished && announced_start_ms == 0)) {
    change.restarted = true;
    process.start_ms = now / kMicrosPerMillisecond;
  }
  process.address = address;
  return change;
}

}  // namespace tulipyoke::membership
