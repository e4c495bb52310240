/** Provides the routes, services and organisations of one version of the operators' configuration. */
package io.jayhead.routing.catalog;
