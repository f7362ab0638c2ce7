// Owners of what ldns allocates.
#ifndef TULIPYOKE_SRC_DNSSD_LDNS_HANDLES_HPP_
#define TULIPYOKE_SRC_DNSSD_LDNS_HANDLES_HPP_

#include <ldns/ldns.h>
// ldns makes these macros, which breaks standard headers behind it.
#undef bool
#undef true
#undef false

#include <cstdlib>
#include <memory>
#include <string>

namespace tulipyoke::dnssd {

struct LdnsDelete {
  void operator()(ldns_pkt* packet) const { ldns_pkt_free(packet); }
  void operator()(ldns_rdf* data) const { ldns_rdf_deep_free(data); }
  void operator()(ldns_rr* record) const { ldns_rr_free(record); }
  void operator()(ldns_rr_list* records) const { ldns_rr_list_deep_free(records); }
  void operator()(char* text) const { std::free(text); }
  void operator()(std::uint8_t* bytes) const { std::free(bytes); }
};
template <typename T>
using Owned = std::unique_ptr<T, LdnsDelete>;

inline std::string TextOf(const ldns_rdf* data) {
  const Owned<char> text(ldns_rdf2str(data));
  return text ? text.get() : "";
}

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_LDNS_HANDLES_HPP_
