// Browses the instances of one service in one DNS zone (RFC 6763): PTR records name the instances, SRV, TXT
// and A/AAAA records describe them. Each poll checks the serial of the zone, so that answers from an outdated
// copy are told from changes. No I/O: queries go out and results come in as values. Times are microseconds.
#ifndef TULIPYOKE_SRC_DNSSD_ZONE_BROWSER_HPP_
#define TULIPYOKE_SRC_DNSSD_ZONE_BROWSER_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/dispatch/endpoint_list.hpp"
#include "src/dnssd/browser_options.hpp"
#include "src/dnssd/listing_builder.hpp"
#include "src/dnssd/message.hpp"
#include "src/dnssd/query.hpp"
#include "src/dnssd/query_queue.hpp"
#include "src/dnssd/refresh_policy.hpp"
#include "src/dnssd/service_cache.hpp"
#include "src/dnssd/warning_log.hpp"
#include "src/dnssd/zone_copy.hpp"

namespace tulipyoke::dnssd {

struct BrowserCounters {
  std::uint64_t polls = 0;              // begun
  std::uint64_t accepted_lists = 0;     // of instances
  std::uint64_t stale_answers = 0;      // from a zone copy with an older serial
  std::uint64_t non_authoritative = 0;  // empty answers that prove nothing
  std::uint64_t failed_queries = 0;
  std::uint64_t rejected_records = 0;  // of instances
  std::uint64_t oversized_lists = 0;   // with more instances than are held
  std::uint64_t transfers = 0;         // of the zone, complete or incremental
  std::uint64_t failed_transfers = 0;
};

// One instance, for operators.
struct InstanceView {
  DomainName name;
  std::string label;
  ListedServer listed;                 // as last reported
  bool usable = false;                 // whether it is listed
  std::string version;                 // of its software, as published
  std::optional<InstanceFault> fault;  // why it is not listed, or by earlier records
};

// After each call the owner takes queries, stale resolvers, warnings and list updates. Not thread-safe.
class ZoneBrowser {
 public:
  explicit ZoneBrowser(const BrowserOptions& options);
  ~ZoneBrowser() = default;
  ZoneBrowser(const ZoneBrowser&) = delete;
  ZoneBrowser& operator=(const ZoneBrowser&) = delete;

  // Does what is due.
  void Tick(Micros now);
  // The time of the next Tick() at the latest.
  Micros NextDue() const;
  // Takes the result of a query of TakeQueries(). Results of other queries are ignored.
  void OnResult(Micros now, const QueryResult& result);

  std::vector<Query> TakeQueries() { return queries_.TakeReady(); }
  // Indexes of resolvers that answered from an outdated zone copy.
  std::vector<std::size_t> TakeStaleResolvers() { return std::exchange(stale_resolvers_, {}); }
  // What has changed since the last call. The first update is the complete list; it comes when the instances
  // first accepted are resolved, or after a time limit.
  std::optional<EndpointList> TakeListing();
  std::vector<Warning> TakeWarnings() { return warnings_.Take(); }

  BrowserCounters counters() const;
  std::vector<InstanceView> View() const;
  // Of the zone, as last accepted; none: not known.
  std::optional<std::uint32_t> serial() const { return serial_; }
  // The number of cached instances.
  std::size_t instances() const { return cache_.instances().size(); }
  const BrowserOptions& options() const { return options_; }

 private:
  using Pointers = std::map<DomainName, const PtrData*>;

  // Polls: whether there is something new.
  void BeginPoll();
  void SucceedPoll(Micros now);
  void FailPoll(Micros now, WarningKind kind, const std::string& reason);
  void FailStalePoll(Micros now, std::size_t resolver, std::uint32_t serial);
  void FailOversizedPoll(Micros now, const std::string& reason);
  bool IsOlderThanAccepted(std::optional<std::uint32_t> serial) const;
  void OnSoaResult(Micros now, const QueryResult& result);
  void QueryPointers();
  void OnPointerResult(Micros now, const QueryResult& result);
  void StoreAdditional(Micros now, const std::map<Question, std::vector<Record>>& additional);
  void AcceptInstances(Micros now, const std::vector<Record>& pointers);
  Pointers ValidPointers(const std::vector<Record>& pointers);
  void AddInstances(const Pointers& pointers);
  // Returns whether any was removed.
  bool RemoveInstancesExcept(const Pointers& pointers);

  // Zone transfers (in zone_browser_transfer.cpp).
  void QueryTransfer();
  void OnTransferResult(Micros now, const QueryResult& result);
  void OnTransferFailure(Micros now, bool answered);
  void OnZoneCopyChange(Micros now, std::set<Question> changed, bool replaced);

  // Record sets of instances and hosts.
  void RequestRecords(const Question& question);
  void ProcessBacklog(Micros now);
  void OnRecordSetResult(Micros now, const Question& question, const QueryResult& result);
  void StoreRecords(Micros now, const Question& question, const std::vector<Record>& records);
  void DispatchQueries();
  bool InitialListIsComplete(Micros now) const;

  BrowserOptions options_;
  DomainName browse_name_;  // of the PTR records
  DomainName apex_;
  RefreshPolicy refresh_policy_;
  BrowserCounters counters_;
  ServiceCache cache_;
  QueryQueue queries_;
  ListingBuilder listings_;
  WarningLog warnings_;
  std::vector<std::size_t> stale_resolvers_;

  Micros now_ = 0;  // of the last call
  Micros next_poll_ = 0;
  bool polling_ = false;
  std::size_t poll_resolver_ = 0;             // that answered the SOA query of the last poll
  std::optional<std::uint32_t> poll_serial_;  // in that answer
  std::optional<std::uint32_t> serial_;       // of the instances last accepted
  std::optional<Micros> first_accepted_at_;   // none: no list of instances has been accepted yet
  Micros pointers_due_ = 0;                   // the PTR records are due, also with an unchanged serial

  ZoneCopy copy_;  // empty unless transfers succeed
  Micros transfers_suspended_until_ = 0;
  std::deque<Question> backlog_;  // record sets to be stored from the zone copy
};

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_ZONE_BROWSER_HPP_
