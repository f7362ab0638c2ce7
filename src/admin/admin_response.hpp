// A response of the admin server and its serialization as HTTP.
#ifndef TULIPYOKE_SRC_ADMIN_ADMIN_RESPONSE_HPP_
#define TULIPYOKE_SRC_ADMIN_ADMIN_RESPONSE_HPP_

#include <http_parser.h>

#include <string>

namespace tulipyoke::net {

struct AdminResponse {
  http_status status = HTTP_STATUS_OK;
  std::string body = {};            // plain text
  std::string allowed_method = {};  // sent with HTTP_STATUS_METHOD_NOT_ALLOWED; empty: no Allow header
};

// Serializes the response as HTTP/1.1 with `Connection: close`.
std::string SerializeHttpResponse(const AdminResponse& response);

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_ADMIN_ADMIN_RESPONSE_HPP_
