// Warnings of a zone browser, limited in rate: each kind is reported once until its cause is gone, and
// rejected instances up to a number. No I/O: the owner takes the warnings and logs them.
#ifndef TULIPYOKE_SRC_DNSSD_WARNING_LOG_HPP_
#define TULIPYOKE_SRC_DNSSD_WARNING_LOG_HPP_

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/dnssd/service_cache.hpp"

namespace tulipyoke::dnssd {

enum class WarningKind {
  kNoAnswer,          // a poll failed
  kStaleAnswer,       // from a zone copy with an older serial
  kNonAuthoritative,  // an empty answer that proves nothing
  kTooManyInstances,  // more than are held
  kTransferFailed,    // the zone is browsed by queries for a while
  kInstanceRejected,  // see InstanceFault
};
// The name of the log event.
const char* EventName(WarningKind kind);

struct Warning {
  WarningKind kind = WarningKind::kNoAnswer;
  std::string text;  // for operators
};

class WarningLog {
 public:
  // Does nothing until Resolve() where that kind was reported before.
  void ReportOnce(WarningKind kind, const std::string& text);
  void Resolve(WarningKind kind) { reported_.erase(kind); }

  // Sets the fault of an instance; it is counted and reported if it is another one than before.
  void ReportFault(const DomainName& name, Instance& instance, const InstanceFault& fault);
  void CountRejectedRecord() { ++rejected_records_; }
  std::uint64_t rejected_records() const { return rejected_records_; }

  std::vector<Warning> Take() { return std::exchange(warnings_, {}); }

 private:
  std::vector<Warning> warnings_;
  std::set<WarningKind> reported_;
  std::uint64_t rejected_records_ = 0;
};

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_WARNING_LOG_HPP_
