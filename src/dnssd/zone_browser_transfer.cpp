// Zone transfers of the zone browser: its zone copy and the record sets that a transfer changes.
#include <utility>

#include "src/dnssd/zone_browser.hpp"

namespace tulipyoke::dnssd {
namespace {

// Where the zone's server refuses transfers, the zone is browsed by queries for so long.
constexpr Micros kTransferRetryDelay = 60'000'000;
// Bounds the zone copy: an instance has four or five records, and the zone may hold others.
constexpr std::size_t kMaxRecordsPerInstance = 6;

std::vector<Record> AnswersOf(const std::vector<Message>& messages) {
  std::vector<Record> records;
  for (const Message& message : messages) {
    records.insert(records.end(), message.answers.begin(), message.answers.end());
  }
  return records;
}

}  // namespace

void ZoneBrowser::QueryTransfer() {
  Query query;
  query.question = {apex_, copy_.empty() ? RecordType::kAxfr : RecordType::kIxfr};
  query.resolver = poll_resolver_;
  query.serial = copy_.serial();
  queries_.EnqueueFirst(std::move(query));
}

void ZoneBrowser::OnTransferResult(Micros now, const QueryResult& result) {
  const bool answered = !result.error;
  const std::vector<Record> records = answered ? AnswersOf(result.messages) : std::vector<Record>();
  const bool replaced = copy_.empty();
  std::optional<std::set<Question>> changed =
      copy_.Apply(records, options_.max_instances * kMaxRecordsPerInstance);
  if (!changed) return OnTransferFailure(now, answered);
  ++counters_.transfers;
  warnings_.Resolve(WarningKind::kTransferFailed);
  poll_serial_ = copy_.serial();
  OnZoneCopyChange(now, std::move(*changed), replaced);
}

void ZoneBrowser::OnTransferFailure(Micros now, bool answered) {
  ++counters_.failed_transfers;
  const bool incremental = !copy_.empty();
  copy_.Clear();
  // Differences that do not fit the copy: a complete transfer replaces it.
  if (incremental && answered) return QueryTransfer();
  transfers_suspended_until_ = now + kTransferRetryDelay;
  warnings_.ReportOnce(WarningKind::kTransferFailed, "no transfer of the zone: it is browsed by questions");
  QueryPointers();
}

void ZoneBrowser::OnZoneCopyChange(Micros now, std::set<Question> changed, bool replaced) {
  const Question browse{browse_name_, RecordType::kPtr};
  const std::vector<Record>& pointers = copy_.Get(browse);
  if (pointers.size() > options_.max_instances) {
    return FailOversizedPoll(now, std::to_string(pointers.size()) + " instances are too many");
  }
  // The changes are relative to the copy: without an earlier one, everything cached may have changed.
  if (replaced) {
    for (Question& question : cache_.AllRecordSets()) changed.insert(std::move(question));
  }
  if (replaced || changed.contains(browse)) {
    AcceptInstances(now, pointers);
  } else {
    serial_ = poll_serial_;
    ++counters_.accepted_lists;
    SucceedPoll(now);
  }
  pointers_due_ = now + options_.max_refresh;
  for (const Question& question : changed) {
    if (cache_.FindRecordSet(question)) backlog_.push_back(question);
  }
  ProcessBacklog(now);
}

}  // namespace tulipyoke::dnssd
