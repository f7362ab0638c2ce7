// How long DNS records, and their absence, are cached before they are queried again. Times are microseconds.
#ifndef TULIPYOKE_SRC_DNSSD_REFRESH_POLICY_HPP_
#define TULIPYOKE_SRC_DNSSD_REFRESH_POLICY_HPP_

#include <cstdint>
#include <vector>

#include "src/dnssd/browser_options.hpp"
#include "src/dnssd/message.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::dnssd {

class RefreshPolicy {
 public:
  explicit RefreshPolicy(const BrowserOptions& options);

  // For a TTL in seconds, be it of a record or of a negative answer (RFC 2308, 5).
  Micros DelayForTtl(std::uint32_t ttl_seconds) const;
  // For a record set, by its lowest TTL; for an empty one, a number of poll intervals.
  Micros DelayForRecords(const std::vector<Record>& records) const;

 private:
  double refresh_fraction_;
  Micros min_refresh_;
  Micros max_refresh_;
  Micros absence_delay_;
};

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_REFRESH_POLICY_HPP_
