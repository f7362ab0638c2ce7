// The records that the sources have of one server, and the rules for merging them: any source can drain a
// server, and the first source that announces it determines its address.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_SOURCE_PRECEDENCE_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_SOURCE_PRECEDENCE_HPP_

#include <vector>

#include "src/dispatch/endpoint_list.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

// The state of a server according to one source.
enum class SourceState {
  kUnknown,   // the source has no record of it
  kReady,     // announced as in service
  kDraining,  // announced as terminating
  kVanished,  // was announced and no longer is
};

// Returns true if the source currently announces the server.
bool IsAnnounced(SourceState state);
// Returns true if this state in any record keeps new requests away from the server.
bool IsDrained(SourceState state);

// One source's record of one server.
struct SourceRecord {
  SourceState state = SourceState::kUnknown;
  ListedServer listed;  // the server as last announced
  Micros since = 0;     // time at which `state` was set
};

// The records of one server, in order of the sources' precedence.
using SourceRecords = std::vector<SourceRecord>;

bool HasState(const SourceRecords& records, SourceState state);
bool IsAnnouncedByAny(const SourceRecords& records);
// Returns true if one source drains the server while another has it in service.
bool IsConflicting(const SourceRecords& records);
// Returns the record that determines the server's address: that of the first source that announces it,
// otherwise the one that vanished last, or null if all records are unknown. The result points into `records`.
const SourceRecord* AuthoritativeRecord(const SourceRecords& records);

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_SOURCE_PRECEDENCE_HPP_
