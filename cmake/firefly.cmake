# Functions and dependencies that the build files of all folders use.

find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(tl-expected REQUIRED)
find_package(toml11 REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(fmt REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(ZLIB REQUIRED)
pkg_check_modules(CURL REQUIRED IMPORTED_TARGET libcurl)
pkg_check_modules(NGHTTP2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(SODIUM REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(LOG4CXX REQUIRED IMPORTED_TARGET liblog4cxx)
pkg_check_modules(CPPUTEST REQUIRED IMPORTED_TARGET cpputest)

add_library(firefly_warnings INTERFACE)
target_compile_options(firefly_warnings INTERFACE -Wall -Wextra -Werror)

# firefly_library(NAME SOURCES... DEPENDS... PRIVATE_DEPENDS...): adds a static
# library.
function(firefly_library NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  add_library(${NAME} STATIC ${ARG_SOURCES})
  target_include_directories(
    ${NAME} PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}>
                   $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/firefly>)
  target_link_libraries(${NAME} PUBLIC ${ARG_DEPENDS})
  target_link_libraries(${NAME} PRIVATE ${ARG_PRIVATE_DEPENDS}
                                        $<BUILD_INTERFACE:firefly_warnings>)
endfunction()

# firefly_program(NAME SOURCES... DEPENDS...): adds an executable and installs
# it.
function(firefly_program NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS} firefly_warnings)
  target_compile_definitions(
    ${NAME} PRIVATE FIREFLY_VERSION="${PROJECT_VERSION}")
  install(TARGETS ${NAME} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
endfunction()

# firefly_test(NAME SOURCES... DEPENDS...): adds a CppUTest program. tools/test
# runs it if its name ends in _test, and runs those in _process_test one at a
# time.
function(firefly_test NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES}
                         ${PROJECT_SOURCE_DIR}/tests/test_main.cpp)
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS} PkgConfig::CPPUTEST
                                        firefly_warnings)
  target_compile_definitions(
    ${NAME}
    PRIVATE FIREFLY_SOURCE_DIR="${PROJECT_SOURCE_DIR}"
            FIREFLY_BINARY_DIR="${PROJECT_BINARY_DIR}")
  add_test(NAME ${NAME} COMMAND ${NAME} -v)
endfunction()
