// Tells whether the process behind a server's name is still the one that was there before. A process that
// just started must not be taken for its warm predecessor: in doubt it is a new one.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_RESTART_DETECTION_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_RESTART_DETECTION_HPP_

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/membership/source_precedence.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

// The process that is believed to serve under a server's name.
struct ProcessIdentity {
  std::string address;                  // empty: not known yet
  std::int64_t start_ms = 0;            // Unix time in milliseconds, announced or inferred; 0: not known
  std::int64_t announced_start_ms = 0;  // the latest start that any source announced; 0: none did
};

struct ProcessChange {
  bool restarted = false;
  bool moved = false;  // to another address
};

// Updates the identity after `records[source]` was announced; `previous` is that record's state before. A
// later start time than any before it also discards the records of sources from which the former process had
// vanished.
ProcessChange DetectRestart(Micros now, SourceRecords& records, std::size_t source, SourceState previous,
                            ProcessIdentity& process);

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_RESTART_DETECTION_HPP_
