#include "src/dnssd/service_cache.hpp"

#include <algorithm>
#include <variant>

namespace tulipyoke::dnssd {
namespace {

// The target of SRV records that say that there is no such service (RFC 2782).
constexpr const char* kNoServiceTarget = ".";

bool AllKnown(const Instance& instance) { return instance.srv.known && instance.txt.known; }

}  // namespace

// ---- Instances and hosts

Instance* ServiceCache::FindInstance(const DomainName& name) {
  const auto it = instances_.find(name);
  return it == instances_.end() ? nullptr : &it->second;
}

const Host* ServiceCache::FindHost(const DomainName& name) const {
  const auto it = hosts_.find(name);
  return it == hosts_.end() ? nullptr : &it->second;
}

bool ServiceCache::AddInstance(const DomainName& name, const std::string& label) {
  const auto [it, added] = instances_.try_emplace(name);
  if (added) it->second.label = label;
  return added;
}

void ServiceCache::RemoveInstance(const DomainName& name) {
  const auto it = instances_.find(name);
  if (it == instances_.end()) return;
  const Instance& instance = it->second;
  CancelRefresh({name, RecordType::kSrv}, instance.srv);
  CancelRefresh({name, RecordType::kTxt}, instance.txt);
  if (instance.service) RemoveHostUser(instance.service->target, name);
  changed_.erase(name);
  instances_.erase(it);
}

bool ServiceCache::AddHostUser(const DomainName& host, const DomainName& instance) {
  const auto [it, added] = hosts_.try_emplace(host);
  it->second.users.insert(instance);
  return added;
}

void ServiceCache::RemoveHostUser(const DomainName& host, const DomainName& instance) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) return;
  it->second.users.erase(instance);
  if (!it->second.users.empty()) return;
  CancelRefresh({host, RecordType::kA}, it->second.a);
  CancelRefresh({host, RecordType::kAaaa}, it->second.aaaa);
  hosts_.erase(it);
}

void ServiceCache::MarkAllChanged() {
  for (const auto& [name, instance] : instances_) changed_.insert(name);
}

// ---- Record sets

RecordSetState* ServiceCache::FindRecordSet(const Question& question) {
  if (question.type == RecordType::kSrv || question.type == RecordType::kTxt) {
    Instance* instance = FindInstance(question.name);
    if (!instance) return nullptr;
    return question.type == RecordType::kSrv ? &instance->srv : &instance->txt;
  }
  if (question.type != RecordType::kA && question.type != RecordType::kAaaa) return nullptr;
  const auto host = hosts_.find(question.name);
  if (host == hosts_.end()) return nullptr;
  return question.type == RecordType::kA ? &host->second.a : &host->second.aaaa;
}

bool ServiceCache::NeedsQuery(const Question& question, Micros now) {
  const RecordSetState* state = FindRecordSet(question);
  if (!state) return false;
  return !state->known || state->refresh_at <= now;
}

std::vector<Question> ServiceCache::AllRecordSets() const {
  std::vector<Question> questions;
  for (const auto& [name, instance] : instances_) {
    questions.push_back({name, RecordType::kSrv});
    questions.push_back({name, RecordType::kTxt});
  }
  for (const auto& [name, host] : hosts_) {
    questions.push_back({name, RecordType::kA});
    questions.push_back({name, RecordType::kAaaa});
  }
  return questions;
}

std::vector<Question> ServiceCache::KnownRecordSets() const {
  std::vector<Question> questions;
  for (const auto& [name, instance] : instances_) {
    if (instance.srv.known) questions.push_back({name, RecordType::kSrv});
    if (instance.txt.known) questions.push_back({name, RecordType::kTxt});
  }
  for (const auto& [name, host] : hosts_) {
    if (host.a.known) questions.push_back({name, RecordType::kA});
    if (host.aaaa.known) questions.push_back({name, RecordType::kAaaa});
  }
  return questions;
}

ServiceCache::StoreResult ServiceCache::Store(const Question& question, const std::vector<Record>& records,
                                              std::optional<Micros> refresh_at) {
  RecordSetState* state = FindRecordSet(question);
  if (!state) return {};
  state->known = true;
  if (refresh_at)
    Schedule(question, *state, *refresh_at);
  else
    CancelRefresh(question, *state);
  if (question.type == RecordType::kSrv) return StoreSrv(question.name, records);
  if (question.type == RecordType::kTxt) return StoreTxt(question.name, records);
  return StoreAddresses(question, records);
}

ServiceCache::StoreResult ServiceCache::StoreSrv(const DomainName& name, const std::vector<Record>& records) {
  Instance& instance = instances_.at(name);
  std::vector<SrvData> services;
  services.reserve(records.size());
  for (const Record& record : records) services.push_back(std::get<SrvData>(record.data));
  std::optional<SrvData> service = SelectService(services);
  if (service && service->target == kNoServiceTarget) service.reset();
  changed_.insert(name);
  instance.srv_invalid = service && service->port == 0;
  StoreResult result;
  if (instance.srv_invalid) {
    result.fault = InstanceFault{InstanceFault::Kind::kPortZero, {}, {}};
    return result;
  }
  const std::optional<SrvData> previous = std::exchange(instance.service, service);
  if (service && AddHostUser(service->target, name)) {
    result.follow_up = Question{service->target, RecordType::kA};
  }
  const bool host_left = previous && (!service || service->target != previous->target);
  if (host_left) RemoveHostUser(previous->target, name);
  return result;
}

ServiceCache::StoreResult ServiceCache::StoreTxt(const DomainName& name, const std::vector<Record>& records) {
  Instance& instance = instances_.at(name);
  changed_.insert(name);
  std::variant<TxtAttributes, TxtFault> parsed = TxtAttributes();
  if (records.size() > 1) parsed = TxtFault{"TXT", TxtFaultReason::kSeveralRecords};
  if (records.size() == 1) parsed = ParseTxtAttributes(std::get<TxtData>(records[0].data));
  const auto* fault = std::get_if<TxtFault>(&parsed);
  instance.txt_invalid = fault != nullptr;
  StoreResult result;
  if (fault)
    result.fault = InstanceFault{InstanceFault::Kind::kInvalidTxt, *fault, {}};
  else
    instance.attributes = std::get<TxtAttributes>(std::move(parsed));
  return result;
}

ServiceCache::StoreResult ServiceCache::StoreAddresses(const Question& question,
                                                       const std::vector<Record>& records) {
  Host& host = hosts_.at(question.name);
  std::vector<std::string>& addresses =
      question.type == RecordType::kA ? host.ipv4_addresses : host.ipv6_addresses;
  addresses.clear();
  for (const Record& record : records) addresses.push_back(std::get<AddressData>(record.data).address);
  std::sort(addresses.begin(), addresses.end());
  changed_.insert(host.users.begin(), host.users.end());
  // IPv6 addresses are queried where there is no IPv4 address to use.
  StoreResult result;
  if (!IsResolved(host) && !host.aaaa.known) result.follow_up = Question{question.name, RecordType::kAaaa};
  return result;
}

// ---- Refreshes

void ServiceCache::ScheduleRefresh(const Question& question, Micros when) {
  if (RecordSetState* state = FindRecordSet(question)) Schedule(question, *state, when);
}

void ServiceCache::Schedule(const Question& question, RecordSetState& state, Micros when) {
  CancelRefresh(question, state);
  state.refresh_at = when;
  refreshes_.emplace(when, question);
}

void ServiceCache::CancelRefresh(const Question& question, const RecordSetState& state) {
  refreshes_.erase({state.refresh_at, question});
}

std::vector<Question> ServiceCache::TakeDueRefreshes(Micros now) {
  std::vector<Question> due;
  while (!refreshes_.empty() && refreshes_.begin()->first <= now) {
    due.push_back(refreshes_.begin()->second);
    refreshes_.erase(refreshes_.begin());
  }
  return due;
}

std::optional<Micros> ServiceCache::NextRefresh() const {
  if (refreshes_.empty()) return std::nullopt;
  return refreshes_.begin()->first;
}

// ---- Addresses

std::vector<std::string> ServiceCache::AllowedAddresses(const Host& host) const {
  std::vector<std::string> allowed;
  for (const auto* addresses : {&host.ipv4_addresses, &host.ipv6_addresses}) {
    for (const std::string& address : *addresses) {
      if (allowed_addresses_.Accepts(address)) allowed.push_back(address);
    }
  }
  return allowed;
}

bool ServiceCache::IsResolved(const Host& host) const {
  if (!host.a.known) return false;
  return host.aaaa.known ||
         std::any_of(host.ipv4_addresses.begin(), host.ipv4_addresses.end(),
                     [&](const std::string& address) { return allowed_addresses_.Accepts(address); });
}

bool ServiceCache::IsResolved(const Instance& instance) const {
  if (!AllKnown(instance)) return false;
  if (!instance.service) return true;
  const Host* host = FindHost(instance.service->target);
  return !host || IsResolved(*host);
}

bool ServiceCache::AllResolved() const {
  return std::all_of(instances_.begin(), instances_.end(),
                     [&](const auto& entry) { return IsResolved(entry.second); });
}

}  // namespace tulipyoke::dnssd
