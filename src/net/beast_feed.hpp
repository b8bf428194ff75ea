// How both readers of HTTP hand bytes to Boost.Beast's parser. For net's own sources.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <string>
#include <string_view>

namespace gorsemount::net {

// Returns how many bytes it used; what is not used is offered again with more behind it.
template <class Parser>
std::size_t feed_parser(Parser& wire, std::string& fault_text, std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && !wire.is_done() && fault_text.empty()) {
    boost::system::error_code fault;
    const std::size_t n = wire.put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), fault);
    used += n;
    if (fault == boost::beast::http::error::need_more) break;
    if (fault) fault_text = fault.message();
    if (n == 0) break;
  }
  return used;
}

}  // namespace gorsemount::net
