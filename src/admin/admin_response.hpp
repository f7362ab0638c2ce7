// What the admin server answers to one request.
#ifndef TULIPYOKE_SRC_ADMIN_ADMIN_RESPONSE_HPP_
#define TULIPYOKE_SRC_ADMIN_ADMIN_RESPONSE_HPP_

#include <http_parser.h>

#include <string>

namespace tulipyoke::net {

struct AdminResponse {
  http_status status = HTTP_STATUS_OK;
  std::string body = {};   // plain text
  std::string allow = {};  // of HTTP_STATUS_METHOD_NOT_ALLOWED: the method that the path is called with
};

// The response as HTTP/1.1, with the connection to be closed after it.
std::string ToHttp(const AdminResponse& response);

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_ADMIN_ADMIN_RESPONSE_HPP_
