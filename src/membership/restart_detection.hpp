// Detects whether the process behind a server's name has been replaced. A process that has just started must
// not be mistaken for its warm predecessor, so in case of doubt it is treated as new.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_RESTART_DETECTION_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_RESTART_DETECTION_HPP_

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/membership/source_precedence.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

// The process that is assumed to run under a server's name.
struct ProcessIdentity {
  std::string address;                  // empty: not known yet
  std::int64_t start_ms = 0;            // Unix time in milliseconds, announced or inferred; 0: not known
  std::int64_t announced_start_ms = 0;  // the latest start time that any source announced; 0: none
};

struct ProcessChange {
  bool restarted = false;
  bool moved = false;  // to another address
};

// Updates `process` after `records[source]` was announced. `previous_state` is the state of that record
// before the announcement. If the announced start time is later than any before it, vanished records that are
// not newer than it are reset to kUnknown, since they refer to the previous process.
ProcessChange DetectRestart(Micros now, SourceRecords& records, std::size_t source,
                            SourceState previous_state, ProcessIdentity& process);

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_RESTART_DETECTION_HPP_
