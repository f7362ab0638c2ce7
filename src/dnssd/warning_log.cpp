#include "src/dnssd/warning_log.hpp"

namespace tulipyoke::dnssd {
namespace {

// Rejected records are only counted when there have been so many.
constexpr std::uint64_t kMaxReportedFaults = 20;

}  // namespace

const char* EventName(WarningKind kind) {
  switch (kind) {
    case WarningKind::kNoAnswer:
      return "dns_silent";
    case WarningKind::kStaleAnswer:
      return "dns_old_copy";
    case WarningKind::kNonAuthoritative:
      return "dns_no_authority";
    case WarningKind::kTooManyInstances:
      return "dns_too_many";
    case WarningKind::kTransferFailed:
      return "dns_no_transfer";
    case WarningKind::kInstanceRejected:
      return "dns_bad_record";
  }
  return "";
}

void WarningLog::ReportOnce(WarningKind kind, const std::string& text) {
  if (reported_.insert(kind).second) warnings_.push_back({kind, text});
}

void WarningLog::ReportFault(const DomainName& name, Instance& instance, const InstanceFault& fault) {
  if (instance.fault == fault) return;
  instance.fault = fault;
  ++rejected_records_;
  if (rejected_records_ > kMaxReportedFaults) return;
  warnings_.push_back({WarningKind::kInstanceRejected, name + ": " + ToText(fault)});
}

}  // namespace tulipyoke::dnssd
