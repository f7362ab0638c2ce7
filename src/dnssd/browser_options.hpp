// Options of a zone browser. Times are microseconds.
#ifndef TULIPYOKE_SRC_DNSSD_BROWSER_OPTIONS_HPP_
#define TULIPYOKE_SRC_DNSSD_BROWSER_OPTIONS_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "src/dnssd/address_filter.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::dnssd {

// How a poll finds out whether the instances have changed.
enum class BrowseMode {
  kPoll,      // it queries the PTR records
  kSerial,    // it queries the SOA record, and everything else when its serial has changed
  kTransfer,  // the same, but changes come as incremental zone transfers (RFC 1995, 5936)
};
// None: the text is none of poll, serial and transfer.
std::optional<BrowseMode> ParseBrowseMode(const std::string& text);

struct BrowserOptions {
  std::string service = "_readings._tcp";
  std::string zone;  // such as derby.example.org
  std::string site;  // of servers whose TXT record names none
  BrowseMode mode = BrowseMode::kPoll;
  Micros poll_interval = 500'000;
  double refresh_fraction = 0.8;       // of a record's TTL, after which it is queried again
  Micros min_refresh = 1'000'000;      // bounds of that time
  Micros max_refresh = 3'600'000'000;  // one hour
  Micros retry_interval = 1'000'000;   // after a query without a usable answer
  std::size_t max_instances = 12'000;
  std::size_t max_concurrent_queries = 24;
  std::vector<AddressBlock> allowed_addresses;  // empty: any unicast address
};

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_BROWSER_OPTIONS_HPP_
