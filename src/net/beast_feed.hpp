// Feeds bytes to a Boost.Beast parser, for HttpReader and HttpStream. Private to this library.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <string>
#include <string_view>

namespace gorsemount::net {

// Returns how many bytes were consumed. The caller passes the rest again, followed by new bytes.
template <class Parser>
std::size_t feed_parser(Parser& parser, std::string& error_text, std::string_view bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size() && !parser.is_done() && error_text.empty()) {
    boost::system::error_code error;
    const std::size_t count =
        parser.put(boost::asio::buffer(bytes.data() + consumed, bytes.size() - consumed), error);
    consumed += count;
    if (error == boost::beast::http::error::need_more) break;
    if (error) error_text = error.message();
    if (count == 0) break;
  }
  return consumed;
}

}  // namespace gorsemount::net
