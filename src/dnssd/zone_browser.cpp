#include "src/dnssd/zone_browser.hpp"

#include <algorithm>
#include <limits>

#include "src/dnssd/answer_checks.hpp"

namespace tulipyoke::dnssd {
namespace {

// The poll after one that removed instances follows this soon, so that a server whose record was missing by
// mistake is back in service soon.
constexpr Micros kConfirmRemovalAfter = 250'000;
// The first list waits so long for the addresses of its instances.
constexpr Micros kInitialListTimeout = 2'000'000;
// Record sets of the zone copy that one call stores: thousands of them would keep requests of clients
// waiting.
constexpr std::size_t kRecordSetsPerCall = 300;

}  // namespace

std::optional<BrowseMode> ParseBrowseMode(const std::string& text) {
  if (text == "poll") return BrowseMode::kPoll;
  if (text == "serial") return BrowseMode::kSerial;
  if (text == "transfer") return BrowseMode::kTransfer;
  return std::nullopt;
}

ZoneBrowser::ZoneBrowser(const BrowserOptions& options)
    : options_(options),
      browse_name_(CanonicalName(options.service + "." + options.zone)),
      apex_(CanonicalName(options.zone)),
      refresh_policy_(options),
      cache_(AddressFilter(options.allowed_addresses)),
      queries_(options.max_concurrent_queries),
      listings_(options.site) {}

void ZoneBrowser::Tick(Micros now) {
  now_ = now;
  if (!polling_ && now >= next_poll_) BeginPoll();
  ProcessBacklog(now);
  for (const Question& question : cache_.TakeDueRefreshes(now)) RequestRecords(question);
  DispatchQueries();
}

Micros ZoneBrowser::NextDue() const {
  if (!backlog_.empty() || (listings_.initial_taken() && cache_.has_changes())) return now_;
  // A poll under way ends by the results of its queries.
  Micros due = polling_ ? std::numeric_limits<Micros>::max() : next_poll_;
  due = std::min(due, cache_.NextRefresh().value_or(due));
  if (first_accepted_at_ && !listings_.initial_taken()) {
    due = std::min(due, *first_accepted_at_ + kInitialListTimeout);
  }
  return due;
}

void ZoneBrowser::OnResult(Micros now, const QueryResult& result) {
  now_ = now;
  const std::optional<Question> question = queries_.Complete(result.query);
  if (!question) return;
  switch (question->type) {
    case RecordType::kSoa:
      OnSoaResult(now, result);
      break;
    case RecordType::kPtr:
      OnPointerResult(now, result);
      break;
    case RecordType::kIxfr:
    case RecordType::kAxfr:
      OnTransferResult(now, result);
      break;
    default:
      OnRecordSetResult(now, *question, result);
      break;
  }
  DispatchQueries();
}

// ---- Polls

void ZoneBrowser::BeginPoll() {
  polling_ = true;
  poll_serial_.reset();
  ++counters_.polls;
  Query query;
  query.question = {apex_, RecordType::kSoa};
  queries_.EnqueueFirst(std::move(query));
}

void ZoneBrowser::SucceedPoll(Micros now) {
  polling_ = false;
  next_poll_ = now + options_.poll_interval;
}

void ZoneBrowser::FailPoll(Micros now, WarningKind kind, const std::string& reason) {
  warnings_.ReportOnce(kind, reason + "; the list holds");
  polling_ = false;
  next_poll_ = now + std::min(options_.poll_interval, options_.retry_interval);
}

void ZoneBrowser::FailStalePoll(Micros now, std::size_t resolver, std::uint32_t serial) {
  ++counters_.stale_answers;
  stale_resolvers_.push_back(resolver);
  FailPoll(now, WarningKind::kStaleAnswer,
           "an answer from an old copy: serial " + std::to_string(serial) + " after " +
               std::to_string(serial_.value_or(0)));
}

void ZoneBrowser::FailOversizedPoll(Micros now, const std::string& reason) {
  ++counters_.oversized_lists;
  FailPoll(now, WarningKind::kTooManyInstances, reason);
}

bool ZoneBrowser::IsOlderThanAccepted(std::optional<std::uint32_t> serial) const {
  return serial && serial_ && SerialBefore(*serial, *serial_);
}

void ZoneBrowser::OnSoaResult(Micros now, const QueryResult& result) {
  if (result.error) {
    ++counters_.failed_queries;
    return FailPoll(now, WarningKind::kNoAnswer, ToText(*result.error));
  }
  warnings_.Resolve(WarningKind::kNoAnswer);
  poll_serial_ = FindSerial(result.messages.front().answers, apex_);
  if (IsOlderThanAccepted(poll_serial_)) return FailStalePoll(now, result.resolver, *poll_serial_);
  poll_resolver_ = result.resolver;
  const bool changed = !first_accepted_at_ || !poll_serial_ || poll_serial_ != serial_;
  if (options_.mode != BrowseMode::kPoll && !changed && now < pointers_due_) {
    warnings_.Resolve(WarningKind::kStaleAnswer);
    return SucceedPoll(now);
  }
  const bool may_transfer =
      options_.mode == BrowseMode::kTransfer && poll_serial_ && now >= transfers_suspended_until_;
  if (!may_transfer) return QueryPointers();
  if (copy_.serial() == poll_serial_) {
    pointers_due_ = now + options_.max_refresh;
    return SucceedPoll(now);
  }
  QueryTransfer();
}

void ZoneBrowser::QueryPointers() {
  Query query;
  query.question = {browse_name_, RecordType::kPtr};
  query.resolver = poll_resolver_;
  queries_.EnqueueFirst(std::move(query));
}

void ZoneBrowser::OnPointerResult(Micros now, const QueryResult& result) {
  if (result.error) {
    ++counters_.failed_queries;
    return FailPoll(now, WarningKind::kNoAnswer, ToText(*result.error));
  }
  const Message& message = result.messages.front();
  const std::vector<Record> pointers = MatchingRecords(message.answers, {browse_name_, RecordType::kPtr});
  // An empty list takes every server out of service: it counts only with authority.
  if (pointers.empty() && (!message.answers.empty() || !IsAuthoritativeFor(message, browse_name_))) {
    ++counters_.non_authoritative;
    return FailPoll(now, WarningKind::kNonAuthoritative, "an empty answer without authority");
  }
  const std::optional<std::uint32_t> serial = FindSerial(message.authority, apex_);
  if (IsOlderThanAccepted(serial)) return FailStalePoll(now, result.resolver, *serial);
  if (pointers.size() > options_.max_instances) {
    return FailOversizedPoll(now, std::to_string(pointers.size()) + " instances are more than " +
                                      std::to_string(options_.max_instances));
  }
  copy_.Clear();
  const bool serial_changed = !first_accepted_at_ || poll_serial_ != serial_;
  AcceptInstances(now, pointers);
  std::map<Question, std::vector<Record>> additional;
  for (const Record& record : message.additional) {
    additional[{record.name, record.type}].push_back(record);
  }
  StoreAdditional(now, additional);
  if (!serial_changed || !listings_.initial_taken()) return;
  // A new serial says that something has changed, not what.
  for (const Question& question : cache_.KnownRecordSets()) {
    if (!additional.contains(question)) cache_.ScheduleRefresh(question, now);
  }
}

// Additional records need not be queried (RFC 6763, 12.1).
void ZoneBrowser::StoreAdditional(Micros now, const std::map<Question, std::vector<Record>>& additional) {
  for (const auto& [question, records] : additional) StoreRecords(now, question, records);
  // The addresses of hosts whose SRV record came later in that order.
  for (const auto& [question, records] : additional) {
    const RecordSetState* state = cache_.FindRecordSet(question);
    if (state && !state->known) StoreRecords(now, question, records);
  }
}

void ZoneBrowser::AcceptInstances(Micros now, const std::vector<Record>& pointers) {
  if (!first_accepted_at_) first_accepted_at_ = now;
  ++counters_.accepted_lists;
  serial_ = poll_serial_;
  for (const WarningKind kind :
       {WarningKind::kStaleAnswer, WarningKind::kNonAuthoritative, WarningKind::kTooManyInstances}) {
    warnings_.Resolve(kind);
  }
  const Pointers valid = ValidPointers(pointers);
  const bool any_removed = RemoveInstancesExcept(valid);
  AddInstances(valid);
  pointers_due_ = now + refresh_policy_.DelayForRecords(pointers);
  SucceedPoll(now);
  if (any_removed) next_poll_ = std::min(next_poll_, now + kConfirmRemovalAfter);
}

ZoneBrowser::Pointers ZoneBrowser::ValidPointers(const std::vector<Record>& pointers) {
  Pointers valid;
  for (const Record& record : pointers) {
    const auto* pointer = std::get_if<PtrData>(&record.data);
    if (pointer->parent == browse_name_ && !pointer->label.empty())
      valid[pointer->target] = pointer;
    else
      warnings_.CountRejectedRecord();
  }
  return valid;
}

bool ZoneBrowser::RemoveInstancesExcept(const Pointers& pointers) {
  std::vector<DomainName> removed;
  for (const auto& [name, instance] : cache_.instances()) {
    if (!pointers.contains(name)) removed.push_back(name);
  }
  for (const DomainName& name : removed) {
    cache_.RemoveInstance(name);
    if (listings_.InstanceRemoved(name)) cache_.MarkAllChanged();
  }
  return !removed.empty();
}

void ZoneBrowser::AddInstances(const Pointers& pointers) {
  for (const auto& [name, pointer] : pointers) {
    if (!cache_.AddInstance(name, pointer->label)) continue;
    RequestRecords({name, RecordType::kSrv});
    RequestRecords({name, RecordType::kTxt});
  }
}

// ---- Record sets

void ZoneBrowser::RequestRecords(const Question& question) {
  if (copy_.empty())
    queries_.EnqueueLast(question);
  else
    backlog_.push_back(question);
}

void ZoneBrowser::ProcessBacklog(Micros now) {
  for (std::size_t done = 0; done < kRecordSetsPerCall && !backlog_.empty(); ++done) {
    const Question question = std::move(backlog_.front());
    backlog_.pop_front();
    // The zone copy may have been dropped meanwhile.
    if (copy_.empty())
      queries_.EnqueueLast(question);
    else
      StoreRecords(now, question, copy_.Get(question));
  }
}

void ZoneBrowser::DispatchQueries() {
  // Single records are queried at the resolver with the newest serial: others may have an outdated copy.
  queries_.Dispatch(poll_resolver_,
                    [this](const Question& question) { return cache_.NeedsQuery(question, now_); });
}

void ZoneBrowser::OnRecordSetResult(Micros now, const Question& question, const QueryResult& result) {
  if (!cache_.FindRecordSet(question)) return;
  const Micros retry_at = now + options_.retry_interval;
  if (result.error) {
    ++counters_.failed_queries;
    return cache_.ScheduleRefresh(question, retry_at);
  }
  const Message& message = result.messages.front();
  const std::vector<Record> records = MatchingRecords(message.answers, question);
  if (records.empty() && (!message.answers.empty() || !IsAuthoritativeFor(message, browse_name_))) {
    ++counters_.non_authoritative;
    return cache_.ScheduleRefresh(question, retry_at);
  }
  if (IsOlderThanAccepted(FindSerial(message.authority, apex_))) {
    ++counters_.stale_answers;
    return cache_.ScheduleRefresh(question, retry_at);
  }
  StoreRecords(now, question, records);
  if (!records.empty()) return;
  // How long the absence may be cached (RFC 2308, 5).
  for (const Record& record : message.authority) {
    const auto* soa = std::get_if<SoaData>(&record.data);
    if (!soa) continue;
    return cache_.ScheduleRefresh(question, now + refresh_policy_.DelayForTtl(soa->negative_ttl));
  }
}

void ZoneBrowser::StoreRecords(Micros now, const Question& question, const std::vector<Record>& records) {
  // With a zone copy, the next transfer brings changes; nothing is queried.
  std::optional<Micros> refresh_at;
  if (copy_.empty()) refresh_at = now + refresh_policy_.DelayForRecords(records);
  const ServiceCache::StoreResult result = cache_.Store(question, records, refresh_at);
  if (result.fault) {
    warnings_.ReportFault(question.name, *cache_.FindInstance(question.name), *result.fault);
  }
  if (result.follow_up) RequestRecords(*result.follow_up);
}

// ---- List updates

bool ZoneBrowser::InitialListIsComplete(Micros now) const {
  if (!backlog_.empty()) return false;
  return now >= *first_accepted_at_ + kInitialListTimeout || cache_.AllResolved();
}

std::optional<EndpointList> ZoneBrowser::TakeListing() {
  if (!first_accepted_at_) return std::nullopt;
  if (!listings_.initial_taken() && !InitialListIsComplete(now_)) return std::nullopt;
  return listings_.Take(cache_, warnings_);
}

BrowserCounters ZoneBrowser::counters() const {
  BrowserCounters counters = counters_;
  counters.rejected_records = warnings_.rejected_records();
  return counters;
}

std::vector<InstanceView> ZoneBrowser::View() const {
  std::vector<InstanceView> views;
  for (const auto& [name, instance] : cache_.instances()) {
    InstanceView view;
    view.name = name;
    view.label = instance.label;
    if (const ListedServer* reported = listings_.Reported(name)) {
      view.listed = *reported;
      view.usable = true;
    }
    if (instance.attributes) view.version = instance.attributes->version;
    view.fault = instance.fault;
    if (!view.usable && !view.fault) view.fault = InstanceFault{InstanceFault::Kind::kUnresolved, {}, {}};
    views.push_back(std::move(view));
  }
  return views;
}

}  // namespace tulipyoke::dnssd
