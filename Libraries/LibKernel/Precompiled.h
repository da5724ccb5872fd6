#pragma once

#include <LibKernel/Asio.h>

#include <boost/asio/ssl.hpp>
#include <boost/beast.hpp>
#include <boost/beast/ssl.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
