// The cache of one browsed zone: service instances, the hosts that they run on, the state of their record
// sets, and when each set is to be queried again. No I/O; times are microseconds.
#ifndef TULIPYOKE_SRC_DNSSD_SERVICE_CACHE_HPP_
#define TULIPYOKE_SRC_DNSSD_SERVICE_CACHE_HPP_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/dnssd/address_filter.hpp"
#include "src/dnssd/instance.hpp"
#include "src/dnssd/message.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::dnssd {

// The state of the records of one name and type. They are kept when nobody answers.
struct RecordSetState {
  Micros refresh_at = 0;
  bool known = false;  // an answer has come, be it that there are no such records
};

struct Instance {
  std::string label;  // as published, see PtrData
  RecordSetState srv;
  RecordSetState txt;
  std::optional<SrvData> service;           // of the last valid SRV records; none: there is no such service
  std::optional<TxtAttributes> attributes;  // of the last valid TXT record
  std::optional<InstanceFault> fault;  // the last one reported; none: it is listed by its current records
  bool srv_invalid = false;            // the current records are; `service` is of earlier ones
  bool txt_invalid = false;
};

struct Host {
  RecordSetState a;
  RecordSetState aaaa;
  std::vector<std::string> ipv4_addresses;  // sorted
  std::vector<std::string> ipv6_addresses;  // sorted
  std::set<DomainName> users;               // the instances whose service names the host
};

class ServiceCache {
 public:
  // What a change of records leads to.
  struct StoreResult {
    std::optional<Question> follow_up;   // records that are needed next
    std::optional<InstanceFault> fault;  // of the instance that the question is about
  };

  // `allowed_addresses`: addresses that it does not accept are held, but do not resolve a host.
  explicit ServiceCache(AddressFilter allowed_addresses) : allowed_addresses_(std::move(allowed_addresses)) {}

  const std::map<DomainName, Instance>& instances() const { return instances_; }
  // Null where there is none.
  Instance* FindInstance(const DomainName& name);
  const Host* FindHost(const DomainName& name) const;
  // False: it was there already.
  bool AddInstance(const DomainName& name, const std::string& label);
  void RemoveInstance(const DomainName& name);

  // Null where the question is not about a cached instance or host.
  RecordSetState* FindRecordSet(const Question& question);
  // Whether the records are to be queried: they are not known yet, or due.
  bool NeedsQuery(const Question& question, Micros now);
  // Replaces a record set; an empty one says that there are no such records. `refresh_at` none: it is not
  // refreshed by a query. Records that are not of the cache are ignored.
  StoreResult Store(const Question& question, const std::vector<Record>& records,
                    std::optional<Micros> refresh_at);
  std::vector<Question> AllRecordSets() const;
  std::vector<Question> KnownRecordSets() const;

  // Does nothing where the question is not about a cached instance or host.
  void ScheduleRefresh(const Question& question, Micros when);
  // The questions that have come due, each once.
  std::vector<Question> TakeDueRefreshes(Micros now);
  // None: nothing is scheduled.
  std::optional<Micros> NextRefresh() const;

  // Whether the host has an allowed address, or is known to have none.
  bool IsResolved(const Host& host) const;
  // Whether the instances' records and the addresses of their hosts are known.
  bool AllResolved() const;
  std::vector<std::string> AllowedAddresses(const Host& host) const;

  // Instances whose records have changed and that have not been taken since.
  bool has_changes() const { return !changed_.empty(); }
  DomainName TakeChanged() { return std::move(changed_.extract(changed_.begin()).value()); }
  void MarkAllChanged();

 private:
  StoreResult StoreSrv(const DomainName& name, const std::vector<Record>& records);
  StoreResult StoreTxt(const DomainName& name, const std::vector<Record>& records);
  StoreResult StoreAddresses(const Question& question, const std::vector<Record>& records);
  // Returns whether the host is a new one.
  bool AddHostUser(const DomainName& host, const DomainName& instance);
  void RemoveHostUser(const DomainName& host, const DomainName& instance);
  void Schedule(const Question& question, RecordSetState& state, Micros when);
  void CancelRefresh(const Question& question, const RecordSetState& state);
  bool IsResolved(const Instance& instance) const;

  AddressFilter allowed_addresses_;
  std::map<DomainName, Instance> instances_;
  std::map<DomainName, Host> hosts_;  // each is removed with its last user
  std::set<std::pair<Micros, Question>> refreshes_;
  std::set<DomainName> changed_;
};

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_SERVICE_CACHE_HPP_
