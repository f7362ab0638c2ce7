// What the sources say of one server, and which of them prevails: any source may drain a server, and the
// first source that announces it says where it is.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_SOURCE_PRECEDENCE_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_SOURCE_PRECEDENCE_HPP_

#include <vector>

#include "src/dispatch/endpoint_list.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

// The state of a server according to one source.
enum class SourceState {
  kUnknown,   // the source says nothing of it
  kReady,     // announced, in service
  kDraining,  // announced, terminating
  kVanished,  // was announced and is not any more
};

// True if the source lists the server at present.
bool IsAnnounced(SourceState state);
// True if this state alone keeps new requests from the server.
bool IsDrained(SourceState state);

// One source's record of one server.
struct SourceRecord {
  SourceState state = SourceState::kUnknown;
  ListedServer listed;  // as last announced
  Micros since = 0;     // of `state`
};

// The records of one server, in the order of the sources' precedence.
using SourceRecords = std::vector<SourceRecord>;

bool HasState(const SourceRecords& records, SourceState state);
bool IsAnnouncedByAny(const SourceRecords& records);
// True if one source drains the server while another has it in service.
bool IsConflicting(const SourceRecords& records);
// The record that says where the server is: that of the first source which announces it, else the one that
// vanished last. Null if no source says anything of it. Owned by `records`.
const SourceRecord* AuthoritativeRecord(const SourceRecords& records);

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_SOURCE_PRECEDENCE_HPP_
