# Every third-party library, each from Debian 12.

set(Boost_NO_WARN_NEW_VERSIONS ON)
find_package(Boost 1.81 REQUIRED COMPONENTS json log thread)
find_package(OpenSSL REQUIRED)
find_package(Threads REQUIRED)
find_package(CLI11 REQUIRED)
find_package(rapidcheck REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(THRIFT REQUIRED IMPORTED_TARGET thrift)
pkg_check_modules(URCU REQUIRED IMPORTED_TARGET liburcu-memb)
pkg_check_modules(CPPUTEST REQUIRED IMPORTED_TARGET cpputest)

add_compile_definitions(
    BOOST_LOG_DYN_LINK
    BOOST_ASIO_NO_DEPRECATED
    BOOST_ASIO_DISABLE_BOOST_COROUTINE
    _LGPL_SOURCE)
